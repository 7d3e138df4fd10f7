"""Reads and validates the configuration of a front, and applies its defaults."""

import os
import resource
from typing import NamedTuple

import orjson

from sprucegate.errors import ConfigurationError
from sprucegate.front import configuration_checks
from sprucegate.front.protocol import bus
from sprucegate.simulator.settings import settings_from

REQUIRED = object()
TYPE_NAMES = {str: "text", dict: "an object", list: "a list"}


class FrontConfigurationError(ConfigurationError):
    """An invalid configuration; the message names the key."""


MS, S = 1_000_000, 1_000_000_000

# Times that the platform's protocol fixes for all deployments; the settings don't contain them.
# After SIGTERM clients send on new connections for at most 0.4 s, and on open ones for 0.2 s more.
ACCEPT_AFTER_SIGTERM = 700 * MS
# SIGKILL comes no earlier than ACCEPT_AFTER_SIGTERM plus the longest viewer timeout or this, whichever is shorter.
VIEWER_TIMEOUT_BEFORE_KILL_MAX = 3 * S
CLIENT_IDLE_TIMEOUT = 4 * S  # after which clients close an idle connection
# Within this time a client sends on a connection that it has just opened, or notices that one was closed.
CLIENT_REACTION_TIME = 200 * MS
# Margin before SIGKILL, in which the last responses are written even on a busy core.
KILL_MARGIN = 400 * MS


class ConnectionTimes(NamedTuple):
    """Time-outs of client connections and of a front's shutdown, nanoseconds; from settings and the constants above."""

    request_timeout: int  # for the first request, or one that has begun, to be complete
    idle_timeout: int  # between two requests
    write_timeout: int  # for a client to read a response
    linger_timeout: int  # for a client to close after our side was shut down
    first_request_wait: int  # for the first request on a new connection, while the front stops
    accept_after_sigterm: int  # from SIGTERM until the listener is closed
    drain_timeout: int  # from SIGTERM until all open requests are given up


def times_from(settings):
    """Return the ConnectionTimes that follow from the settings."""
    longest = max(
        [given for given in settings.get("viewer_timeout") or () if given],
        default=VIEWER_TIMEOUT_BEFORE_KILL_MAX,
    )
    longest_before_kill = min(longest, VIEWER_TIMEOUT_BEFORE_KILL_MAX)
    return ConnectionTimes(
        # Not derived from the viewer timeouts: these count from the last byte of a request and don't make clients
        # send faster. A request that has begun can still be completed and answered before SIGKILL may come.
        request_timeout=VIEWER_TIMEOUT_BEFORE_KILL_MAX * 7 // 10,
        idle_timeout=3 * CLIENT_IDLE_TIMEOUT,
        # No client waits for a response longer than the longest viewer timeout.
        write_timeout=longest,
        linger_timeout=longest_before_kill * 7 // 10,
        first_request_wait=CLIENT_REACTION_TIME,
        accept_after_sigterm=ACCEPT_AFTER_SIGTERM,
        drain_timeout=longest_before_kill + ACCEPT_AFTER_SIGTERM - KILL_MARGIN,
    )


class FrontConfiguration(NamedTuple):
    """Configuration of one front."""

    name: str
    listen: tuple
    seed: int
    memory_mb: float
    descriptors: int
    bus: tuple
    flow: float  # bytes per second of one transfer to a client
    link: float  # bytes per second of all transfers together
    offset: int  # of the last event known at the start
    known: list  # the events up to that one, as returned by bus.read
    ds_names: dict  # index of a delivery service by its name
    locations: dict
    kinds: dict
    settings: dict  # of the router, by its names for them
    times: ConnectionTimes
    # The following come from the operator's file.
    servers: object = None  # protocols of upstream servers; None: the line protocol for all
    membership: object = None  # sources of the endpoint list; None: the bus alone
    fleet: object = None  # the other fronts; None: this front is alone
    agreement: object = None  # the replicated log and the limits of the rollout; None: no consensus
    shares: object = None  # quotas of concurrent fills; None: each fill starts at once
    log_gets: bool = False  # whether each request is logged with its trace


def _lookup(data, key, kind, default=REQUIRED):
    *path, last = key.split(".")
    for at, name in enumerate(path):
        data = _require_type(data.get(name, {}), ".".join(path[: at + 1]), dict)
    if data.get(last) is not None:
        return _require_type(data[last], key, kind)
    if default is REQUIRED:
        raise FrontConfigurationError(f"{key}: is missing")
    return default


def _require_type(value, key, kind):
    if isinstance(value, bool) or not isinstance(value, kind):
        raise FrontConfigurationError(
            f"{key}: must be {TYPE_NAMES.get(kind, 'a number')}, not {type(value).__name__}"
        )
    return value


def _parse_address(text, key):
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise FrontConfigurationError(f"{key}: must be HOST:PORT, not {text[:60]!r}")
    return host, int(port)


def _at_least(value, key, least):
    if not value >= least:
        raise FrontConfigurationError(f"{key}: must be at least {least}, not {value}")
    return value


def _descriptor_limit(configured):
    """Return how many descriptors to use.

    At most those that the process may open: above that it would run out of them before its own limits apply.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(min(1024, configured, configured if allowed == resource.RLIM_INFINITY else allowed))


def _flatten(value, path, into):
    """Flatten nested JSON to dotted paths and texts, the format of `simulator.settings`."""
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten(inner, f"{path}.{name}" if path else name, into)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        into[f"{path}.count"] = str(len(value))
        for at, item in enumerate(value):
            _flatten(item, f"{path}.{at}", into)
    elif isinstance(value, list):
        into[path] = ",".join(map(_to_text, value))
    else:
        into[path] = _to_text(value)
    return into


def _to_text(value):
    return str(value).lower() if isinstance(value, bool) else str(value)


def _index_names(data, key, field=None):
    items = _lookup(data, key, list)
    names = [item.get(field) if field and isinstance(item, dict) else item for item in items]
    for at, name in enumerate(names):
        if not isinstance(name, str) or not name:
            raise FrontConfigurationError(f"{key}[{at}]{'.' + field if field else ''}: must be a name")
    return {name: at for at, name in enumerate(names)}


def read(environ):
    """Return the FrontConfiguration of the environment and the file it names; raises FrontConfigurationError."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise FrontConfigurationError("BALANCER_CONFIG: is not set; it must name the configuration file")
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as fault:
        raise FrontConfigurationError(
            f"BALANCER_CONFIG: {path} can't be read: {os.strerror(fault.errno or 0)}"
        ) from None
    except orjson.JSONDecodeError as fault:
        raise FrontConfigurationError(f"BALANCER_CONFIG: {path} is not JSON: {fault}") from None
    if not isinstance(data, dict):
        raise FrontConfigurationError(f"BALANCER_CONFIG: {path} is not a JSON object")
    for key, variable in (("name", "BALANCER_NAME"), ("listen", "BALANCER_LISTEN")):
        data.setdefault(key, environ.get(variable))
    return parse(data)


def parse(data):
    """Return the FrontConfiguration of the parsed JSON; raises FrontConfigurationError with the key at fault."""
    number = (int, float)
    locations, kinds = _index_names(data, "settings.failureDomains"), _index_names(data, "settings.shapes")
    known = []
    for at, event in enumerate(_lookup(data, "known.batch", list)):
        try:
            known.append(bus.read(event, locations, kinds))
        except bus.MalformedEventError as fault:
            raise FrontConfigurationError(f"known.batch[{at}]: {fault}") from None
    seed = _lookup(data, "seed", str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise FrontConfigurationError(f"seed: must be hex digits, not {seed[:60]!r}") from None
    settings = settings_from(
        _flatten(_lookup(data, "settings", dict), "", {}),
        lambda text: FrontConfigurationError(f"settings: {text}"),
    )
    for name, path in (("connect_timeout", "allowed.connectTimeout"), ("keepalive", "allowed.keepalive")):
        # No defaults: those of another deployment would use connections just as their servers close them.
        if name not in settings:
            raise FrontConfigurationError(f"settings.{path}: is missing")
    if contradiction := configuration_checks.find_contradiction(settings, len(locations)):
        raise FrontConfigurationError(f"settings.{contradiction[0]}: {contradiction[1]}")
    return FrontConfiguration(
        name=_lookup(data, "name", str),
        listen=_parse_address(_lookup(data, "listen", str), "listen"),
        seed=seed,
        memory_mb=_at_least(_lookup(data, "limits.memory_mb", number, 192), "limits.memory_mb", 32),
        descriptors=_descriptor_limit(
            _at_least(_lookup(data, "limits.sockets", number, 1024), "limits.sockets", 64)
        ),
        bus=_parse_address(_lookup(data, "bus", str), "bus"),
        flow=_at_least(_lookup(data, "flow_bytes_per_s", number), "flow_bytes_per_s", 1),
        link=_at_least(_lookup(data, "link_bytes_per_s", number), "link_bytes_per_s", 1),
        offset=_at_least(_lookup(data, "known.offset", int), "known.offset", 0),
        known=known,
        ds_names=_index_names(data, "settings.categories", "name"),
        locations=locations,
        kinds=kinds,
        settings=settings,
        times=times_from(settings),
    )
