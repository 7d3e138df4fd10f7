"""Parser of the operator's file: KDL, parsed by ckdl and validated against msgspec schemas.

Any error rejects the whole file; nothing is applied in part.

servers {
    speak http2 kind=parent
    speak lines name=s-1f
    http2 {
        connections 4
        wait (ms)300
    }
}
"""

import os
import re
from typing import Annotated, Literal

import ckdl
import msgspec
from msgspec import Meta, Struct

from sprucegate.config import source_locations
from sprucegate.config.source_locations import OperatorFileError
from sprucegate.upstream.http2.limits import MS, Limits, S, Share, number, size, time

MAX_FILE_BYTES = 1 << 20
TIME_UNITS = {"us": 1000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
HEADER = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")  # field-name token, RFC 9110
RESERVED_HEADERS = (
    "x-call-id",
    "x-patience-ms",
    "x-set",
    "x-heap-kb",
    "if-none-match",
    "host",
    "content-length",
    "transfer-encoding",
    "connection",
    "upgrade",
    "expect",
)
SIZE_UNITS = {"B": 1, "KB": 1000, "KiB": 1024, "MB": 1_000_000, "MiB": 1 << 20}


class Speak(Struct, forbid_unknown_fields=True, frozen=True):
    """A rule that sets the protocol of servers by kind, name or address.

    A rule by name takes precedence over one by address, and that over one by kind.
    """

    transport: Literal["lines", "http2"]
    kind: str | None = None
    name: str | None = None
    address: str | None = None


class ServersNode(Struct, forbid_unknown_fields=True, frozen=True):
    """The `servers` node: the protocol of each server, and the limits of HTTP/2 connections."""

    speak: list[Speak] = []
    http2: Limits = Limits()

    def speaks(self, transport):
        """Return whether a rule assigns this protocol to some server."""
        return any(rule.transport == transport for rule in self.speak)

    def resolved(self, kinds):
        """Return the rules with kinds replaced by their numbers in the configuration.

        Raises KeyError with the name of a kind that the configuration does not define.
        """
        return Servers(
            self, {kinds[rule.kind]: rule.transport for rule in self.speak if rule.kind is not None}
        )


class MembershipNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `membership` node: sources of the server list besides the bus. Times in ns."""

    file: Annotated[str, Meta(min_length=1)]
    order: tuple[Literal["file", "bus"], Literal["file", "bus"]] = ("file", "bus")  # highest precedence first
    poll: time(20 * MS, 60 * S) = 200 * MS
    least: time(MS, 60 * S) = 50 * MS  # minimum interval between two reads
    most_removed: Share = 0.5  # share of a location that one list may remove; above it the list is held
    hold: time(S, 30 * 86_400 * S) = 600 * S
    ramp: time(0, 3600 * S) = 20 * S  # slow start: until a returning server has its full weight
    state: str = ""  # directory of snapshots; empty: no snapshots
    state_oldest: time(S, 365 * 86_400 * S) = 86_400 * S
    keep: number(1, 100) = 3

    def contradiction(self):
        """Return (key, error text) if settings of this node contradict each other, else None."""
        if sorted(self.order) != ["bus", "file"]:
            return "order", "must name file and bus, each once"
        return None


class FleetNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `fleet` node: this front's membership in a fleet of fronts. Times in ns, sizes in bytes."""

    name: Annotated[str, Meta(min_length=1, max_length=60)]
    listen: Annotated[str, Meta(min_length=1)]  # HOST:PORT
    advertise: str = ""  # address at which other fronts reach this one, if not `listen`
    join: Annotated[list[str], Meta(max_length=100)] = []  # seed addresses; they report further members
    state: Annotated[str, Meta(min_length=1)] = "fleet"  # directory, not shared with another front
    alone_after: time(100 * MS, 600 * S) = 5 * S  # without contact to another front this one serves alone
    catch_up: size(64 << 10, 1 << 30) = 8 << 20  # bytes/s in total, to all fronts catching up from this one
    evidence: size(0, 10 << 20) = 32 << 10  # bytes/s to each neighbour; 0: replicate guard facts only
    purge_life: time(S, 86_400 * S) = 60 * S  # after which a purge is taken as completed on all servers
    word_life: time(S, 365 * 86_400 * S) = 86_400 * S  # retention of the state of a removed server
    log_most: size(64 << 10, 256 << 20) = 16 << 20  # log size at which a new snapshot is written

    def contradiction(self):
        """Return (key, error text) if settings of this node contradict each other, else None."""
        for key, values in (
            ("listen", [self.listen]),
            ("advertise", [self.advertise or self.listen]),
            ("join", self.join),
        ):
            for value in values:
                host, _, port = value.rpartition(":")
                if not host or not port.isdigit() or not 0 < int(port) < 65_536:
                    return key, f"must be HOST:PORT, not {value[:60]!r}"
        return None

    @property
    def address(self):
        """The (host, port) to listen on."""
        host, _, port = self.listen.rpartition(":")
        return host, int(port)


class AgreementNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `agreement` node: the voters of the replicated log, each as NAME=HOST:PORT.

    A front whose name is listed is a voter itself. Requires a `fleet` node.
    """

    keepers: Annotated[list[str], Meta(min_length=1, max_length=7)]
    state: Annotated[str, Meta(min_length=1)] = "keeper"  # directory, not shared with another voter

    def contradiction(self):
        """Return (key, error text) if settings of this node contradict each other, else None."""
        for value in self.keepers:
            name, _, address = value.partition("=")
            host, _, port = address.rpartition(":")
            valid_name = name and not set("^~") & set(name)  # both characters separate a name from a suffix
            if not valid_name or not host or not port.isdigit() or not 0 < int(port) < 65_536:
                return "keepers", f"must be NAME=HOST:PORT, not {value[:60]!r}"
        if len(self.addresses) != len(self.keepers):
            return "keepers", "names a voter twice"
        if len(self.keepers) % 2 == 0:
            return (
                "keepers",
                "must list an odd number of voters: an even one can split into equal halves",
            )
        return None

    @property
    def addresses(self):
        """The address of each voter by its name."""
        return dict(voter.split("=", 1) for voter in self.keepers)


class RolloutNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `rollout` node: disruption budgets, which bound how many servers may be out at once.

    A budget is "SCOPE[=OF] ROLE COUNT SHARE", such as `fleet cache 3 0.5`.
    """

    budgets: Annotated[list[str], Meta(min_length=1, max_length=100)]
    spare: Share = 0.5  # additional load that a remaining server may get, as a share of its own part

    def contradiction(self):
        """Return (key, error text) if settings of this node contradict each other, else None."""
        for value in self.budgets:
            try:
                _parse_budget(value)
            except ValueError as error:
                return "budgets", f"{value[:60]!r}: {error}"
        return None

    def limits(self, floor):
        """Return the arguments of the log's `limits` command.

        `floor` is the share of its normal request rate that a cold cache can take.
        """
        return [[_parse_budget(value) for value in self.budgets], [int(floor * 1000), int(self.spare * 1000)]]


class SharesNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `shares` node: how slots for slow fills are divided among tenants and fronts.

    A request header names the tenant. A tenant is "NAME WEIGHT" or "NAME WEIGHT FLOOR", the slots of a
    source are "KIND-OR-NAME COUNT"; `fronts` lists all fronts that may exist. Requires a `fleet` node.
    """

    header: Annotated[str, Meta(min_length=1, max_length=60)]
    places: Annotated[list[str], Meta(min_length=1, max_length=200)]
    fronts: Annotated[list[str], Meta(min_length=1, max_length=1000)]
    tenants: Annotated[list[str], Meta(max_length=200)] = []
    common: number(1, 1000) = 1  # joint weight of all tenants that are not listed
    waiting: number(1, 10_000) = 200  # queue limit: GETs of one tenant waiting in one front
    longest: time(0, 600 * S) = 0  # maximum duration of a fill; 0: the longest viewer timeout

    def contradiction(self):
        """Return (key, error text) if settings of this node contradict each other, else None."""
        if not HEADER.fullmatch(self.header) or self.header.lower() in RESERVED_HEADERS:
            return (
                "header",
                f"must be a header name that the router does not use itself, not {self.header[:60]!r}",
            )
        for key, values, least, most in (("tenants", self.tenants, 2, 3), ("places", self.places, 2, 2)):
            for value in values:
                words = value.split()
                if (
                    not least <= len(words) <= most
                    or not all(w.isdigit() and len(w) < 6 for w in words[1:])
                    or (int(words[1]) == 0)
                ):
                    expected = "NAME WEIGHT [FLOOR]" if key == "tenants" else "KIND-OR-NAME COUNT"
                    return key, f"must be {expected} with whole numbers above 0, not {value[:60]!r}"
            names = [value.split()[0] for value in values]
            if twice := [name for name in names if names.count(name) > 1]:
                return key, f"names {twice[0][:60]!r} twice"
        if len(set(self.fronts)) != len(self.fronts):
            return "fronts", "names a front twice"
        if b"common" in self.tenant_indices:
            return "tenants", "`common` is reserved for the tenants that are not listed"
        guaranteed = sum(floor for _, floor in self.tenant_weights)
        fewest = min(self.slot_counts.values())
        if guaranteed > fewest:
            return "tenants", f"the floors add up to {guaranteed} slots, but a source has only {fewest}"
        return None

    @property
    def tenant_indices(self):
        """The index of each listed tenant by the value of its header."""
        return {value.split()[0].encode(): at for at, value in enumerate(self.tenants, 1)}

    @property
    def tenant_names(self):
        """The tenants' names by index; index 0 is the common tenant."""
        return ["common", *[value.split()[0] for value in self.tenants]]

    @property
    def tenant_weights(self):
        """(weight, floor) by tenant index; index 0 is the common tenant."""
        rows = [[int(word) for word in value.split()[1:]] for value in self.tenants]
        return [(self.common, 0), *[(row[0], row[1] if len(row) > 1 else 0) for row in rows]]

    @property
    def slot_counts(self):
        """The number of slots by name of a source or kind."""
        return {name: int(count) for name, count in map(str.split, self.places)}

    @property
    def lowercase_header(self):
        """The tenant header's name in the form that the request parser uses: lower-case bytes."""
        return self.header.lower().encode()


def _parse_budget(value):
    words = value.split()
    if len(words) != 4:
        raise ValueError("must be SCOPE[=OF] ROLE COUNT SHARE")
    scope, _, of = words[0].partition("=")
    if scope not in ("fleet", "location", "kind", "group"):
        raise ValueError("the scope must be fleet, location, kind or group")
    if words[1] not in ("cache", "front", "any"):
        raise ValueError("the role must be cache, front or any")
    count, share = int(words[2]), float(words[3])
    if not 0 < count < 100_000 or not 0 < share <= 1:
        raise ValueError("the count must be from 1 to 99999, and the share above 0 and at most 1")
    return [scope, of, "" if words[1] == "any" else words[1], count, int(share * 1000)]


class LogNode(Struct, forbid_unknown_fields=True, frozen=True):
    """The `log` node."""

    gets: bool = False  # whether to log one line for each GET with its steps


class OperatorFile(Struct, forbid_unknown_fields=True, frozen=True):
    """All nodes of an operator's file; omitted ones have their default."""

    servers: ServersNode = ServersNode()
    membership: MembershipNode | None = None
    fleet: FleetNode | None = None
    agreement: AgreementNode | None = None
    rollout: RolloutNode | None = None
    shares: SharesNode | None = None
    log: LogNode = LogNode()


class Servers:
    """The `servers` node as the front uses it: the protocol of a server, and the HTTP/2 limits."""

    def __init__(self, node, kinds):
        self.node, self.http2, self.kinds = node, node.http2, kinds
        self.names = {rule.name: rule.transport for rule in node.speak if rule.name is not None}
        self.addresses = {rule.address: rule.transport for rule in node.speak if rule.address is not None}

    def speaks(self, transport):
        """Return whether a rule assigns this protocol to some server."""
        return self.node.speaks(transport)

    def transport(self, name, address, kind):
        """Return the protocol of a server by its name, its address or its kind; `lines` by default."""
        return self.names.get(name) or self.addresses.get(address) or self.kinds.get(kind, "lines")

    def __eq__(self, other):
        """Return whether the nodes of the two files are equal."""
        return isinstance(other, Servers) and self.node == other.node


SETTING_BLOCKS = {
    "servers.http2": Limits,
    "membership": MembershipNode,
    "fleet": FleetNode,
    "agreement": AgreementNode,
    "rollout": RolloutNode,
    "shares": SharesNode,
    "log": LogNode,
}  # blocks that contain only settings of the form `key value`
UNITS = {
    f"{block}.{field.encode_name}": (getattr(field.type, "__metadata__", (Meta(),))[0].extra or {}).get(
        "unit"
    )
    for block, struct in SETTING_BLOCKS.items()
    for field in msgspec.structs.fields(struct)
}
MULTI_VALUE_KEYS = (
    "membership.order",
    "fleet.join",
    "agreement.keepers",
    "rollout.budgets",
    "shares.places",
    "shares.tenants",
    "shares.fronts",
)


BLOCK_PATHS = ("servers", *SETTING_BLOCKS)


class _TreeBuilder:
    """Converts KDL nodes to the plain data that the schemas validate; `lines` maps each path to its line."""

    def __init__(self, file):
        self.file, self.lines = file, {}

    def fail(self, line, key, text):
        raise OperatorFileError(self.file, line, key, text)

    def children(self, nodes, starts, path, leaf):
        result = {}
        for node, start in zip(nodes, starts, strict=True):
            key = f"{path}.{node.name}" if path else node.name
            self.lines.setdefault(key, start.line)
            if node.type_annotation:
                self.fail(
                    start.line, key, f"a node must have no type annotation, not ({node.type_annotation})"
                )
            if key == "servers.speak":
                result.setdefault("speak", []).append(self._speak_rule(node, start, key))
                continue
            if node.name in result:
                self.fail(start.line, key, "is given twice")
            if leaf:
                result[node.name] = self._value(node, start, key)
            elif key not in BLOCK_PATHS:
                self.fail(start.line, key, "is not known")
            else:
                if node.args or node.properties:
                    self.fail(start.line, key, "must be a block in braces, without values")
                result[node.name] = self.children(node.children, start.children, key, key in SETTING_BLOCKS)
        return result

    def _speak_rule(self, node, start, key):
        path = f"{key}[{sum(k.startswith(key + '[') for k in self.lines)}]"
        self.lines[path] = start.line
        if len(node.args) != 1 or node.children:
            self.fail(start.line, key, "must have one transport and one of kind=, name= and address=")
        rule = {
            "transport": _plain_value(node.args[0]),
            **{k: _plain_value(v) for k, v in node.properties.items()},
        }
        if len(node.properties) != 1:
            self.fail(start.line, key, "must have exactly one of kind=, name= and address=")
        if isinstance(address := rule.get("address"), str):
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit() or not 0 < int(port) < 65_536:
                self.fail(start.line, key, f"address must be HOST:PORT, not {address[:60]!r}")
        return rule

    def _value(self, node, start, key):
        if key in MULTI_VALUE_KEYS and node.args and not node.properties and not node.children:
            return [_plain_value(value) for value in node.args]
        if len(node.args) != 1 or node.properties or node.children:
            self.fail(start.line, key, "must have one value")
        value, unit = node.args[0], None
        if isinstance(value, ckdl.Value):
            unit, value = value.type_annotation, value.value
        quantity = UNITS.get(key)
        factors = {"time": TIME_UNITS, "size": SIZE_UNITS}.get(quantity, {})
        if unit not in factors and (unit or quantity):
            expected = (
                f"a {quantity} with its unit, one of {', '.join(f'({u})' for u in factors)}"
                if quantity
                else "no unit"
            )
            self.fail(start.line, key, f"must have {expected}, not {f'({unit})' if unit else 'a bare value'}")
        if quantity:
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or value != value
                or abs(value) > 1e12
            ):
                self.fail(start.line, key, f"must be a number, not {str(value)[:60]!r}")
            value = int(value * factors[unit])
        return value


def _plain_value(value):
    return value.value if isinstance(value, ckdl.Value) else value


def read(path):
    """Return the OperatorFile at `path`; raises OperatorFileError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(path, 1, "", f"can't be read: {os.strerror(error.errno or 0)}") from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorFileError(path, 1, "", f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise OperatorFileError(
            path, data.count(b"\n", 0, error.start) + 1, "", "is not valid UTF-8"
        ) from None
    return parse(text, path)


def parse(text, path):
    """Parse the text of an operator's file; raises OperatorFileError with file, line and key."""
    try:
        nodes = ckdl.parse(text).nodes
    except Exception:  # ckdl raises several types of exceptions
        raise OperatorFileError(
            path, source_locations.syntax_error_line(text), "", "is not valid KDL from this line on"
        ) from None
    builder = _TreeBuilder(path)
    data = builder.children(nodes, source_locations.starts(text), "", False)
    try:
        parsed = msgspec.convert(data, OperatorFile)
    except msgspec.ValidationError as error:
        raise _with_location(error, builder, path) from None
    _check_consistency(parsed, builder)
    return parsed


def _with_location(error, builder, path):
    text, _, where = str(error).partition(" - at `$")
    key = where.rstrip("`").lstrip(".")
    if text.startswith("Object contains unknown field `"):
        name = text.split("`")[1]
        key, text = (f"{key}.{name}" if key else name), "is not known"
    known_path, line = key, 1
    while known_path and known_path not in builder.lines:
        known_path = known_path.rpartition(".")[0]
    line = builder.lines.get(known_path, 1)
    return OperatorFileError(path, line, key, text)


def _check_consistency(parsed, builder):
    seen = {}
    for index, rule in enumerate(parsed.servers.speak):
        selector = next(
            (field, value) for field in ("kind", "name", "address") if (value := getattr(rule, field))
        )
        key = f"servers.speak[{index}]"
        if selector in seen:
            builder.fail(
                builder.lines[key],
                "servers.speak",
                f"{selector[0]} {selector[1]!r} is already named on line {seen[selector]}",
            )
        seen[selector] = builder.lines[key]
    for block, node in (
        ("servers.http2", parsed.servers.http2),
        ("membership", parsed.membership),
        ("fleet", parsed.fleet),
        ("agreement", parsed.agreement),
        ("rollout", parsed.rollout),
        ("shares", parsed.shares),
    ):
        if node is not None and (error := node.contradiction()):
            key = f"{block}.{error[0]}"
            builder.fail(builder.lines.get(key, builder.lines.get(block, 1)), key, error[1])
    for block, required in (
        ("agreement", "fleet"),
        ("rollout", "agreement"),
        ("agreement", "rollout"),
        ("shares", "fleet"),
    ):
        if getattr(parsed, block) is not None and getattr(parsed, required) is None:
            builder.fail(
                builder.lines.get(block, 1), block, f"requires a `{required}` block, which is missing"
            )
