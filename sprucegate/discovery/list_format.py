"""A list of servers as KDL: parsing, validation and rendering. No I/O.

    servers {
        server "s-0b" address="10.1.0.9:4100" location="east" kind="std" weight=1.0 state="serving" started=0
    }

`state` is serving, draining or held. `started` is the time of a recent start in Unix milliseconds, 0 for a warm server;
`cold` requires it to be given. All properties but address, location and kind are optional.
"""

import math
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Literal

import ckdl
import msgspec

from sprucegate.config import source_locations
from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.units import MILLISECOND
from sprucegate.upstream.hosts import endpoint_id

LIST_BYTES_MAX = 10_000_000  # sum of all parts
ENTRIES_MAX = 20_000
WEIGHT_MAX = 1e6
PORTS = range(1, 65_536)
ADDRESS = re.compile(r"[0-9A-Za-z.\-]{1,253}:([0-9]{1,5})")
FAULT_SEARCH_CHARACTERS_MAX = 20_000  # in a longer text the last line is reported for a syntax error


class ServerEntryError(ValueError):
    """An invalid entry; `key` and `text` go into the message for the operator."""

    def __init__(self, key: str, text: str) -> None:
        message = f"{key}: {text}"
        super().__init__(message)
        # A misspelt node name may contain a colon itself: the key ends at the first one.
        self.key, _, self.text = message.partition(": ")


class ServerNode(msgspec.Struct, forbid_unknown_fields=True):
    """The schema of one `server` node."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
    address: str
    location: str
    kind: str
    weight: float = 1.0
    cell: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    state: Literal["serving", "draining", "held"] = "serving"
    started: Annotated[int, msgspec.Meta(ge=0, le=10**14)] = 0
    cold: bool = False


class _Duplicates:
    """Finds names, ids and addresses that occur twice in a list."""

    def __init__(self) -> None:
        self.positions: dict[tuple[str, object], str] = {}

    def check(self, server: Server, position: str) -> None:
        values = (("server", server.name), ("server", server.entry.id), ("address", server.address))
        for key, value in values:
            # Ids are integers and names are strings: the two can't collide under one key.
            if (key, value) in self.positions:
                raise ServerEntryError(key, f"{value!r} is already used by {self.positions[key, value]}")
            self.positions[key, value] = position


def parse(
    texts: Sequence[tuple[str, str]], locations: Mapping[str, int], kinds: Mapping[str, int]
) -> list[Server]:
    """Return the servers of a list, given its parts as (file, text). Raises OperatorFileError."""
    found: list[Server] = []
    duplicates = _Duplicates()
    weights = 0.0
    for file, text in texts:
        for index, node in enumerate(_nodes(file, text)):
            try:
                entry = msgspec.convert(_plain(node), ServerNode)
                server = _server(entry, locations, kinds)
                duplicates.check(server, f"entry {index + 1} of {file}")
            except msgspec.ValidationError as fault:
                problem, _, key = str(fault).partition(" - at `$.")
                raise _fault(file, text, index, key.rstrip("`"), problem) from None
            except ServerEntryError as fault:
                raise _fault(file, text, index, fault.key, fault.text) from None
            weights += entry.weight
            found.append(server)
            if len(found) > ENTRIES_MAX:
                raise _fault(file, text, index, "servers", f"more than {ENTRIES_MAX} entries")
    file = texts[0][0] if texts else "?"
    if not found:
        raise OperatorFileError(
            file, 1, "servers", "lists no servers; an empty list is rejected as a mistake"
        )
    if not weights:
        raise OperatorFileError(file, 1, "weight", "all weights are 0")
    return found


def _nodes(file: str, text: str) -> list[Any]:
    try:
        nodes = ckdl.parse(text).nodes
    except Exception:  # ckdl raises several types of exception
        short = len(text) < FAULT_SEARCH_CHARACTERS_MAX
        line = source_locations.syntax_error_line(text) if short else text.count("\n") + 1
        raise OperatorFileError(file, line, "", "is not valid KDL, or is truncated") from None
    if [node.name for node in nodes] != ["servers"] or nodes[0].args or nodes[0].properties:
        raise OperatorFileError(file, 1, "", "must hold one block `servers { ... }` and nothing else")
    children: list[Any] = nodes[0].children
    return children


def _plain(node: Any) -> dict[str, Any]:
    """Return a node's name and properties as the plain data that the schema checks."""
    if node.name != "server":
        raise ServerEntryError(node.name, "is unknown; a list has only `server` nodes")
    if len(node.args) != 1 or node.children or node.type_annotation:
        raise ServerEntryError("server", "must have one name, and properties")
    values = {"name": node.args[0], **node.properties}
    for key, value in values.items():
        if isinstance(value, ckdl.Value):
            raise ServerEntryError(key, f"takes no type annotation, but has ({value.type_annotation})")
    return values


def _server(entry: ServerNode, locations: Mapping[str, int], kinds: Mapping[str, int]) -> Server:
    _check(entry, locations, kinds)
    state = EndpointState.DRAINING if entry.state == "draining" else EndpointState.SERVING
    endpoint = Endpoint(
        endpoint_id(entry.name),
        locations[entry.location],
        kinds[entry.kind],
        entry.cell,
        state,
        entry.weight,
        entry.started * MILLISECOND,
    )
    return Server(endpoint, entry.name, entry.address, entry.state == "held")


def _check(entry: ServerNode, locations: Mapping[str, int], kinds: Mapping[str, int]) -> None:
    """Check what the schema can't express; raise ServerEntryError."""
    if entry.location not in locations:
        raise ServerEntryError("location", f"{entry.location!r} is not in settings.failureDomains")
    if entry.kind not in kinds:
        raise ServerEntryError("kind", f"{entry.kind!r} is not in settings.shapes")
    if not math.isfinite(entry.weight) or entry.weight < 0 or entry.weight > WEIGHT_MAX:
        raise ServerEntryError("weight", f"must be a number from 0 to 1,000,000, not {entry.weight}")
    match = ADDRESS.fullmatch(entry.address)
    if not match or int(match[1]) not in PORTS:
        raise ServerEntryError("address", f"must be HOST:PORT, not {entry.address[:60]!r}")
    if entry.cold and not entry.started:
        raise ServerEntryError(
            "started",
            "is required for a cold server: without it the front would send it as much as a warm one",
        )


def _fault(file: str, text: str, index: int, key: str, problem: str) -> OperatorFileError:
    """Return the error with its line. Lines are searched only for an error, as finding all costs more than parsing."""
    starts = source_locations.starts(text)
    children = starts[0].children if starts else []
    line = children[index].line if index < len(children) else 1
    return OperatorFileError(file, line, key, problem)


def state_word(server: Server) -> str:
    """Return a server's `state` as it is written in a list."""
    if server.held:
        return "held"
    return "draining" if server.entry.state is EndpointState.DRAINING else "serving"


def render(servers: Iterable[Server], locations: Mapping[str, int], kinds: Mapping[str, int]) -> str:
    """Return a list as KDL that `parse` reads back."""
    location_names = {number: name for name, number in locations.items()}
    kind_names = {number: name for name, number in kinds.items()}
    lines = ["servers {"]
    for server in servers:
        entry = server.entry
        lines.append(
            f'    server "{server.name}" address="{server.address}" '
            f'location="{location_names[entry.location]}" kind="{kind_names[entry.kind]}" cell={entry.cell} '
            f'weight={entry.weight!r} state="{state_word(server)}" started={entry.started // MILLISECOND}'
        )
    return "\n".join([*lines, "}", ""])
