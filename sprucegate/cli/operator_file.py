"""The operator's file: KDL read by ckdl, checked as a whole by schemas. Taken whole or not at all.

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

SIZE_MOST = 1 << 20  # bytes of the file
TIMES = {"us": 1000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
HEADER = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")  # a token of RFC 9110
OWN_HEADERS = (
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
SIZES = {"B": 1, "KB": 1000, "KiB": 1024, "MB": 1_000_000, "MiB": 1 << 20}


class Speak(Struct, forbid_unknown_fields=True, frozen=True):
    """Servers by kind, name or address and what they speak; a name goes before an address before a kind."""

    transport: Literal["lines", "http2"]
    kind: str | None = None
    name: str | None = None
    address: str | None = None


class ServersNode(Struct, forbid_unknown_fields=True, frozen=True):
    """The `servers` node: which protocol servers speak, and the limits of HTTP/2."""

    speak: list[Speak] = []
    http2: Limits = Limits()

    def speaks(self, transport):
        """Whether some server speaks this protocol."""
        return any(one.transport == transport for one in self.speak)

    def resolved(self, kinds):
        """With kinds as the configuration numbers them; a KeyError names one that it lacks."""
        return Servers(self, {kinds[one.kind]: one.transport for one in self.speak if one.kind is not None})


class MembershipNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """Sources of the list of servers besides the bus. Times in ns."""

    file: Annotated[str, Meta(min_length=1)]
    order: tuple[Literal["file", "bus"], Literal["file", "bus"]] = ("file", "bus")  # whose word goes first
    poll: time(20 * MS, 60 * S) = 200 * MS
    least: time(MS, 60 * S) = 50 * MS  # between two readings
    most_removed: Share = 0.5  # of a location in one list, or it is held
    hold: time(S, 30 * 86_400 * S) = 600 * S
    ramp: time(0, 3600 * S) = 20 * S  # to the whole weight of one that comes back
    state: str = ""  # folder for snapshots; empty: none
    state_oldest: time(S, 365 * 86_400 * S) = 86_400 * S
    keep: number(1, 100) = 3

    def contradiction(self):
        """Return (key, what is wrong) where the node contradicts itself, else None."""
        if sorted(self.order) != ["bus", "file"]:
            return "order", "wants file and bus, each once"
        return None


class FleetNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The fronts that this one acts with. Times in ns, sizes in bytes."""

    name: Annotated[str, Meta(min_length=1, max_length=60)]
    listen: Annotated[str, Meta(min_length=1)]  # HOST:PORT
    advertise: str = ""  # where the others reach it, if that is not `listen`
    join: Annotated[list[str], Meta(max_length=100)] = []  # addresses of some others; the rest is told
    state: Annotated[str, Meta(min_length=1)] = "fleet"  # folder, of this front alone
    alone_after: time(100 * MS, 600 * S) = 5 * S  # without another front it goes on alone
    catch_up: size(64 << 10, 1 << 30) = 8 << 20  # bytes a second, for all that catch up from here
    evidence: size(0, 10 << 20) = 32 << 10  # bytes a second to each neighbour; 0: guard facts alone
    purge_life: time(S, 86_400 * S) = 60 * S  # after which a purge has been done everywhere
    word_life: time(S, 365 * 86_400 * S) = 86_400 * S  # after which a server that went is forgotten
    log_most: size(64 << 10, 256 << 20) = 16 << 20  # after which a new snapshot is written

    def contradiction(self):
        """Return (key, what is wrong) where the node contradicts itself, else None."""
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
        """Return (host, port) to listen on."""
        host, _, port = self.listen.rpartition(":")
        return host, int(port)


class AgreementNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """Who keeps the agreed log, NAME=HOST:PORT each; a front whose name is among them votes. Stands on `fleet`."""

    keepers: Annotated[list[str], Meta(min_length=1, max_length=7)]
    state: Annotated[str, Meta(min_length=1)] = "keeper"  # folder, of this keeper alone

    def contradiction(self):
        """Return (key, what is wrong) where the node contradicts itself, else None."""
        for value in self.keepers:
            name, _, address = value.partition("=")
            host, _, port = address.rpartition(":")
            named = name and not set("^~") & set(name)  # what comes after them makes a name another one
            if not named or not host or not port.isdigit() or not 0 < int(port) < 65_536:
                return "keepers", f"must be NAME=HOST:PORT, not {value[:60]!r}"
        if len(self.addresses) != len(self.keepers):
            return "keepers", "names one twice"
        if len(self.keepers) % 2 == 0:
            return "keepers", "wants an odd number: with an even one a split has no larger side"
        return None

    @property
    def addresses(self):
        """Return the voters' addresses by name."""
        return dict(one.split("=", 1) for one in self.keepers)


class RolloutNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """How many may be out at once. A budget is "SCOPE[=OF] ROLE COUNT SHARE": `fleet cache 3 0.5`."""

    budgets: Annotated[list[str], Meta(min_length=1, max_length=100)]
    spare: Share = 0.5  # of its part that one which stays may get besides

    def contradiction(self):
        """Return (key, what is wrong) where the node contradicts itself, else None."""
        for value in self.budgets:
            try:
                _budget(value)
            except ValueError as fault:
                return "budgets", f"{value[:60]!r}: {fault}"
        return None

    def limits(self, floor):
        """Return the arguments of the log's `limits` command; `floor`: part of its rate that a cold cache bears."""
        return [[_budget(value) for value in self.budgets], [int(floor * 1000), int(self.spare * 1000)]]


class SharesNode(Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """How slow fills are shared out: tenants by a header, places of sources, the fronts that there may be.

    A tenant is "NAME WEIGHT" or "NAME WEIGHT FLOOR", places are "KIND-OR-NAME COUNT". Stands on `fleet`.
    """

    header: Annotated[str, Meta(min_length=1, max_length=60)]
    places: Annotated[list[str], Meta(min_length=1, max_length=200)]
    fronts: Annotated[list[str], Meta(min_length=1, max_length=1000)]
    tenants: Annotated[list[str], Meta(max_length=200)] = []
    common: number(1, 1000) = 1  # weight of all that are not listed, together
    waiting: number(1, 10_000) = 200  # GETs of one tenant that wait in one front
    longest: time(0, 600 * S) = 0  # of a fill; 0: the longest viewer timeout

    def contradiction(self):
        """Return (key, what is wrong) where the node contradicts itself, else None."""
        if not HEADER.fullmatch(self.header) or self.header.lower() in OWN_HEADERS:
            return "header", f"must be the name of a header that nothing else reads, not {self.header[:60]!r}"
        for key, values, least, most in (("tenants", self.tenants, 2, 3), ("places", self.places, 2, 2)):
            for value in values:
                words = value.split()
                if (
                    not least <= len(words) <= most
                    or not all(w.isdigit() and len(w) < 6 for w in words[1:])
                    or (int(words[1]) == 0)
                ):
                    wants = "NAME WEIGHT [FLOOR]" if key == "tenants" else "KIND-OR-NAME COUNT"
                    return key, f"wants {wants} with whole numbers above 0, not {value[:60]!r}"
            names = [value.split()[0] for value in values]
            if twice := [name for name in names if names.count(name) > 1]:
                return key, f"names {twice[0][:60]!r} twice"
        if len(set(self.fronts)) != len(self.fronts):
            return "fronts", "names one twice"
        if b"common" in self.listed:
            return "tenants", "`common` is what all that are not listed share"
        kept, least = sum(floor for _, floor in self.weights), min(self.counts.values())
        if kept > least:
            return "tenants", f"floors add up to {kept}, and some source has {least} places"
        return None

    @property
    def listed(self):
        """Return the tenants' indices by the header's value."""
        return {value.split()[0].encode(): at for at, value in enumerate(self.tenants, 1)}

    @property
    def names(self):
        """Return the tenants' names by index, the common one first."""
        return ["common", *[value.split()[0] for value in self.tenants]]

    @property
    def weights(self):
        """(weight, floor) by index, the common share first."""
        rows = [[int(word) for word in value.split()[1:]] for value in self.tenants]
        return [(self.common, 0), *[(row[0], row[1] if len(row) > 1 else 0) for row in rows]]

    @property
    def counts(self):
        """Return the slots by source or kind."""
        return {name: int(count) for name, count in map(str.split, self.places)}

    @property
    def header_bytes(self):
        """Return the tenant header's name as the request reader has it."""
        return self.header.lower().encode()


def _budget(value):
    words = value.split()
    if len(words) != 4:
        raise ValueError("wants SCOPE[=OF] ROLE COUNT SHARE")
    scope, _, of = words[0].partition("=")
    if scope not in ("fleet", "location", "kind", "group"):
        raise ValueError("the scope is fleet, location, kind or group")
    if words[1] not in ("cache", "front", "any"):
        raise ValueError("the role is cache, front or any")
    count, share = int(words[2]), float(words[3])
    if not 0 < count < 100_000 or not 0 < share <= 1:
        raise ValueError("wants a count above 0 and a share from 0 to 1")
    return [scope, of, "" if words[1] == "any" else words[1], count, int(share * 1000)]


class LogNode(Struct, forbid_unknown_fields=True, frozen=True):
    """The `log` node."""

    gets: bool = False  # one line for each GET, with its steps


class OperatorFile(Struct, forbid_unknown_fields=True, frozen=True):
    """All nodes of an operator's file; what it leaves out has its default."""

    servers: ServersNode = ServersNode()
    membership: MembershipNode | None = None
    fleet: FleetNode | None = None
    agreement: AgreementNode | None = None
    rollout: RolloutNode | None = None
    shares: SharesNode | None = None
    log: LogNode = LogNode()


class Servers:
    """What the front asks of it: the transport of a server, and the limits."""

    def __init__(self, node, kinds):
        self.node, self.http2, self.kinds = node, node.http2, kinds
        self.names = {one.name: one.transport for one in node.speak if one.name is not None}
        self.addresses = {one.address: one.transport for one in node.speak if one.address is not None}

    def speaks(self, transport):
        """Whether some server speaks this protocol."""
        return self.node.speaks(transport)

    def transport(self, name, address, kind):
        """Return the protocol of a server: by its name, its address, its kind, else `lines`."""
        return self.names.get(name) or self.addresses.get(address) or self.kinds.get(kind, "lines")

    def __eq__(self, other):
        """Whether the files' nodes are equal."""
        return isinstance(other, Servers) and self.node == other.node


LEAVES = {
    "servers.http2": Limits,
    "membership": MembershipNode,
    "fleet": FleetNode,
    "agreement": AgreementNode,
    "rollout": RolloutNode,
    "shares": SharesNode,
    "log": LogNode,
}  # blocks of `key value` lines
UNITS = {
    f"{block}.{one.encode_name}": (getattr(one.type, "__metadata__", (Meta(),))[0].extra or {}).get("unit")
    for block, struct in LEAVES.items()
    for one in msgspec.structs.fields(struct)
}
SEVERAL = (
    "membership.order",
    "fleet.join",
    "agreement.keepers",
    "rollout.budgets",
    "shares.places",
    "shares.tenants",
    "shares.fronts",
)


BLOCKS = ("servers", *LEAVES)


class _Builder:
    """Nodes as the plain data that the schemas check, and the line of each path in it."""

    def __init__(self, file):
        self.file, self.lines = file, {}

    def fault(self, line, key, text):
        raise OperatorFileError(self.file, line, key, text)

    def children(self, nodes, begun, path, leaf):
        made = {}
        for node, start in zip(nodes, begun, strict=True):
            key = f"{path}.{node.name}" if path else node.name
            self.lines.setdefault(key, start.line)
            if node.type_annotation:
                self.fault(start.line, key, f"a node takes no type, not ({node.type_annotation})")
            if key == "servers.speak":
                made.setdefault("speak", []).append(self._speak(node, start, key))
                continue
            if node.name in made:
                self.fault(start.line, key, "stands twice")
            if leaf:
                made[node.name] = self._value(node, start, key)
            elif key not in BLOCKS:
                self.fault(start.line, key, "is not known")
            else:
                if node.args or node.properties:
                    self.fault(start.line, key, "takes a block in braces, no values")
                made[node.name] = self.children(node.children, start.children, key, key in LEAVES)
        return made

    def _speak(self, node, start, key):
        at = f"{key}[{sum(k.startswith(key + '[') for k in self.lines)}]"
        self.lines[at] = start.line
        if len(node.args) != 1 or node.children:
            self.fault(start.line, key, "wants one transport and kind=, name= or address=")
        given = {"transport": _plain(node.args[0]), **{k: _plain(v) for k, v in node.properties.items()}}
        if len(node.properties) != 1:
            self.fault(start.line, key, "wants exactly one of kind=, name= and address=")
        if isinstance(address := given.get("address"), str):
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit() or not 0 < int(port) < 65_536:
                self.fault(start.line, key, f"address must be HOST:PORT, not {address[:60]!r}")
        return given

    def _value(self, node, start, key):
        if key in SEVERAL and node.args and not node.properties and not node.children:
            return [_plain(value) for value in node.args]
        if len(node.args) != 1 or node.properties or node.children:
            self.fault(start.line, key, "wants one value")
        value, unit = node.args[0], None
        if isinstance(value, ckdl.Value):
            unit, value = value.type_annotation, value.value
        wanted = UNITS.get(key)
        known = {"time": TIMES, "size": SIZES}.get(wanted, {})
        if unit not in known and (unit or wanted):
            hint = (
                f"a {wanted} with its unit, one of {', '.join(f'({u})' for u in known)}"
                if wanted
                else "no unit"
            )
            self.fault(start.line, key, f"wants {hint}, not {f'({unit})' if unit else 'a bare value'}")
        if wanted:
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or value != value
                or abs(value) > 1e12
            ):
                self.fault(start.line, key, f"wants a number, not {str(value)[:60]!r}")
            value = int(value * known[unit])
        return value


def _plain(value):
    return value.value if isinstance(value, ckdl.Value) else value


def read(path):
    """The OperatorFile at `path`; raises Faulty."""
    try:
        with open(path, "rb") as file:
            data = file.read(SIZE_MOST + 1)
    except OSError as fault:
        raise OperatorFileError(path, 1, "", f"can't be read: {os.strerror(fault.errno or 0)}") from None
    if len(data) > SIZE_MOST:
        raise OperatorFileError(path, 1, "", f"is larger than {SIZE_MOST} bytes")
    try:
        text = data.decode()
    except UnicodeDecodeError as fault:
        raise OperatorFileError(path, data.count(b"\n", 0, fault.start) + 1, "", "is not UTF-8") from None
    return parse(text, path)


def parse(text, path):
    """Return the OperatorFile of a text; raises OperatorFileError with file, line and key."""
    try:
        nodes = ckdl.parse(text).nodes
    except Exception:  # ckdl raises several kinds
        raise OperatorFileError(
            path, source_locations.fault_line(text), "", "is not KDL from here on"
        ) from None
    builder = _Builder(path)
    data = builder.children(nodes, source_locations.starts(text), "", False)
    try:
        made = msgspec.convert(data, OperatorFile)
    except msgspec.ValidationError as fault:
        raise _located(fault, builder, path) from None
    _contradictions(made, builder)
    return made


def _located(fault, builder, path):
    text, _, where = str(fault).partition(" - at `$")
    key = where.rstrip("`").lstrip(".")
    if text.startswith("Object contains unknown field `"):
        name = text.split("`")[1]
        key, text = (f"{key}.{name}" if key else name), "is not known"
    at, line = key, 1
    while at and at not in builder.lines:
        at = at.rpartition(".")[0]
    line = builder.lines.get(at, 1)
    return OperatorFileError(path, line, key, text)


def _contradictions(made, builder):
    seen = {}
    for at, one in enumerate(made.servers.speak):
        which = next(
            (field, value) for field in ("kind", "name", "address") if (value := getattr(one, field))
        )
        key = f"servers.speak[{at}]"
        if which in seen:
            builder.fault(
                builder.lines[key],
                "servers.speak",
                f"{which[0]} {which[1]!r} is named on line {seen[which]} already",
            )
        seen[which] = builder.lines[key]
    for block, node in (
        ("servers.http2", made.servers.http2),
        ("membership", made.membership),
        ("fleet", made.fleet),
        ("agreement", made.agreement),
        ("rollout", made.rollout),
        ("shares", made.shares),
    ):
        if node is not None and (found := node.contradiction()):
            key = f"{block}.{found[0]}"
            builder.fault(builder.lines.get(key, builder.lines.get(block, 1)), key, found[1])
    for block, needs in (
        ("agreement", "fleet"),
        ("rollout", "agreement"),
        ("agreement", "rollout"),
        ("shares", "fleet"),
    ):
        if getattr(made, block) is not None and getattr(made, needs) is None:
            builder.fault(
                builder.lines.get(block, 1), block, f"stands on a `{needs}` block, which is not there"
            )
