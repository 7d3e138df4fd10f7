"""The one place where configuration is read, checked and given defaults."""

import os
import resource
from typing import NamedTuple

import orjson

from sprucegate.errors import ConfigurationError
from sprucegate.front import configuration_checks
from sprucegate.front.protocol import bus
from sprucegate.simulator.settings import settings_from

REQUIRED = object()
KINDS = {str: "text", dict: "an object", list: "a list"}


class FrontConfigurationError(ConfigurationError):
    """A message that names the key at fault."""


MS, S = 1_000_000, 1_000_000_000

# What the platform's protocol states for all deployments alike, none of it in the settings.
STILL_COMING = (
    700 * MS
)  # after SIGTERM clients send for 0.4 s at most on new connections, 0.2 s more on open ones
LONGEST_COUNTED = (
    3 * S
)  # SIGKILL comes no earlier than the longest viewer timeout, or this, plus STILL_COMING
CLIENTS_IDLE = 4 * S  # clients close a connection that is idle for so long
RESENT = 200 * MS  # a client sends on a connection it has just opened, or sees that one has ended
BEFORE_KILL = (
    400 * MS
)  # kept free before SIGKILL may come, for answers that have to be written on a busy core


class ConnectionTimes(NamedTuple):
    """Bounds of connections to clients and of a front's end, nanoseconds; from the settings but for the page's own."""

    unfinished: int  # for a first request, or one begun, to be whole
    idle: int  # between two requests
    sending: int  # for an answer to be read
    lingering: int  # for a client to go once it is told so
    fresh: int  # for the first request on a connection, when the front ends
    still_coming: int  # from SIGTERM to the listener's end
    last: int  # from SIGTERM until all that is open is given up


def times_from(settings):
    """Return the bounds of client connections that follow from the settings."""
    longest = max([given for given in settings.get("viewer_timeout") or () if given], default=LONGEST_COUNTED)
    counted = min(longest, LONGEST_COUNTED)
    return ConnectionTimes(
        # A request's time is counted from its last byte: short viewer timeouts make no client write faster. Within
        # this, though, all that was begun before SIGKILL may come can still be whole and answered.
        unfinished=LONGEST_COUNTED * 7 // 10,
        idle=3 * CLIENTS_IDLE,
        # Nobody waits for an answer longer than the longest viewer timeout.
        sending=longest,
        lingering=counted * 7 // 10,
        fresh=RESENT,
        still_coming=STILL_COMING,
        last=counted + STILL_COMING - BEFORE_KILL,
    )


class FrontConfiguration(NamedTuple):
    """What the operators want of one front."""

    name: str
    listen: tuple
    seed: int
    memory_mb: float
    descriptors: int
    bus: tuple
    flow: float  # bytes a second of one transfer to a client
    link: float  # bytes a second of all of them
    offset: int  # last event known at the start
    known: list  # events up to then, as bus.read gives them
    ds_names: dict  # delivery service's name -> its index
    locations: dict
    kinds: dict
    settings: dict  # for the module, under its own names
    times: ConnectionTimes
    servers: object = None  # what the operator's file says of them; None: all speak lines
    membership: object = None  # and of sources of the list; None: the bus alone
    fleet: object = None  # and of other fronts; None: this one is alone
    agreement: object = None  # and of the agreed log, with the limits of going out; None: nothing is agreed
    shares: object = None  # and of places for slow fills; None: each starts at once
    log_gets: bool = False  # whether each GET gets a line in the log, with its steps


def _pick(data, key, kind, default=REQUIRED):
    *path, last = key.split(".")
    for at, name in enumerate(path):
        data = _checked(data.get(name, {}), ".".join(path[: at + 1]), dict)
    if data.get(last) is not None:
        return _checked(data[last], key, kind)
    if default is REQUIRED:
        raise FrontConfigurationError(f"{key}: is missing")
    return default


def _checked(value, key, kind):
    if isinstance(value, bool) or not isinstance(value, kind):
        raise FrontConfigurationError(
            f"{key}: must be {KINDS.get(kind, 'a number')}, not {type(value).__name__}"
        )
    return value


def _address(text, key):
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise FrontConfigurationError(f"{key}: must be HOST:PORT, not {text[:60]!r}")
    return host, int(port)


def _above(value, key, least):
    if not value >= least:
        raise FrontConfigurationError(f"{key}: must be at least {least}, not {value}")
    return value


def _descriptors(told):
    """What the process really gets: told more than that, it would run out of them before its own bounds act."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(min(1024, told, told if allowed == resource.RLIM_INFINITY else allowed))


def _flat(value, path, into):
    """Nested JSON as the wire's paths and texts, which the name table reads."""
    if isinstance(value, dict):
        for name, inner in value.items():
            _flat(inner, f"{path}.{name}" if path else name, into)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        into[f"{path}.count"] = str(len(value))
        for at, item in enumerate(value):
            _flat(item, f"{path}.{at}", into)
    elif isinstance(value, list):
        into[path] = ",".join(map(_text, value))
    else:
        into[path] = _text(value)
    return into


def _text(value):
    return str(value).lower() if isinstance(value, bool) else str(value)


def _names(data, key, field=None):
    items = _pick(data, key, list)
    names = [item.get(field) if field and isinstance(item, dict) else item for item in items]
    for at, name in enumerate(names):
        if not isinstance(name, str) or not name:
            raise FrontConfigurationError(f"{key}[{at}]{'.' + field if field else ''}: must be a name")
    return {name: at for at, name in enumerate(names)}


def read(environ):
    """What the environment and the file it names ask for; raises Faulty."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise FrontConfigurationError("BALANCER_CONFIG: is not set; it names the configuration file")
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
        raise FrontConfigurationError(f"BALANCER_CONFIG: {path} holds no object")
    for key, variable in (("name", "BALANCER_NAME"), ("listen", "BALANCER_LISTEN")):
        data.setdefault(key, environ.get(variable))
    return wanted(data)


def wanted(data):
    """Return the FrontConfiguration of the parsed JSON; raises FrontConfigurationError with the key at fault."""
    number = (int, float)
    locations, kinds = _names(data, "settings.failureDomains"), _names(data, "settings.shapes")
    known = []
    for at, event in enumerate(_pick(data, "known.batch", list)):
        try:
            known.append(bus.read(event, locations, kinds))
        except bus.MalformedEventError as fault:
            raise FrontConfigurationError(f"known.batch[{at}]: {fault}") from None
    seed = _pick(data, "seed", str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise FrontConfigurationError(f"seed: must be hex digits, not {seed[:60]!r}") from None
    settings = settings_from(
        _flat(_pick(data, "settings", dict), "", {}),
        lambda text: FrontConfigurationError(f"settings: {text}"),
    )
    for name, path in (("connect_timeout", "allowed.connectTimeout"), ("keepalive", "allowed.keepalive")):
        # Without them a front would go by another deployment's: connections would be used as their caches close them.
        if name not in settings:
            raise FrontConfigurationError(f"settings.{path}: is missing")
    if found := configuration_checks.fault(settings, len(locations)):
        raise FrontConfigurationError(f"settings.{found[0]}: {found[1]}")
    return FrontConfiguration(
        name=_pick(data, "name", str),
        listen=_address(_pick(data, "listen", str), "listen"),
        seed=seed,
        memory_mb=_above(_pick(data, "limits.memory_mb", number, 192), "limits.memory_mb", 32),
        descriptors=_descriptors(_above(_pick(data, "limits.sockets", number, 1024), "limits.sockets", 64)),
        bus=_address(_pick(data, "bus", str), "bus"),
        flow=_above(_pick(data, "flow_bytes_per_s", number), "flow_bytes_per_s", 1),
        link=_above(_pick(data, "link_bytes_per_s", number), "link_bytes_per_s", 1),
        offset=_above(_pick(data, "known.offset", int), "known.offset", 0),
        known=known,
        ds_names=_names(data, "settings.categories", "name"),
        locations=locations,
        kinds=kinds,
        settings=settings,
        times=times_from(settings),
    )
