"""A list of servers as KDL: text to servers, checked by schema and by sense. Opens nothing.

    servers {
        server "s-0b" address="10.1.0.9:4100" location="east" kind="std" weight=1.0 state="serving" started=0
    }

`state` is serving, draining or held; `started` is the Unix millisecond of a late start, 0 for one that is warm; `cold`
says that there must be one. All but name, address, location and kind may be left out.
"""

import math
import re
from typing import Annotated, Literal

import ckdl
import msgspec

from sprucegate.config import source_locations
from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.upstream.hosts import endpoint_id

MS = 1_000_000
LIST_BYTES_MAX = 10_000_000  # of all parts together
ENTRIES_MAX = 20_000
ADDRESS = re.compile(r"[0-9A-Za-z.\-]{1,253}:([0-9]{1,5})")


class Node(msgspec.Struct, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
    address: str
    location: str
    kind: str
    weight: float = 1.0
    cell: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    state: Literal["serving", "draining", "held"] = "serving"
    started: Annotated[int, msgspec.Meta(ge=0, le=10**14)] = 0
    cold: bool = False


def parse(texts, locations, kinds):
    """Servers of one generation; `texts` are its parts as (file, text). Raises Faulty."""
    found, seen_names, seen_ids, seen_addresses, weights = [], {}, {}, {}, 0.0
    for file, text in texts:
        nodes = _nodes(file, text)
        for at, node in enumerate(nodes):
            try:
                one = msgspec.convert(_plain(node), Node)
                server = _server(one, locations, kinds)
                for seen, what, value in (
                    (seen_names, "server", one.name),
                    (seen_ids, "server", server.entry.id),
                    (seen_addresses, "address", one.address),
                ):
                    if value in seen:
                        raise ValueError(f"{what}: {value!r} stands on {seen[value]} already")
                    seen[value] = f"entry {at + 1} of {file}"
            except msgspec.ValidationError as fault:
                text_of, _, where = str(fault).partition(" - at `$.")
                raise _fault(file, text, at, where.rstrip("`"), text_of) from None
            except ValueError as fault:
                key, _, said = str(fault).partition(": ")
                raise _fault(file, text, at, key, said) from None
            weights += one.weight
            found.append(server)
            if len(found) > ENTRIES_MAX:
                raise _fault(file, text, at, "servers", f"more than {ENTRIES_MAX} entries")
    file = texts[0][0] if texts else "?"
    if not found:
        raise OperatorFileError(file, 1, "servers", "names no servers: an empty list is taken for a mistake")
    if not weights:
        raise OperatorFileError(file, 1, "weight", "all weights are 0")
    return found


def _nodes(file, text):
    try:
        nodes = ckdl.parse(text).nodes
    except Exception:  # ckdl raises several kinds
        line = source_locations.fault_line(text) if len(text) < 20_000 else text.count("\n") + 1
        raise OperatorFileError(file, line, "", "is not KDL, or is cut") from None
    if [node.name for node in nodes] != ["servers"] or nodes[0].args or nodes[0].properties:
        raise OperatorFileError(file, 1, "", "wants one block `servers { ... }` and nothing else")
    return nodes[0].children


def _plain(node):
    if node.name != "server":
        raise ValueError(f"{node.name}: is not known; a list has `server` nodes")
    if len(node.args) != 1 or node.children or node.type_annotation:
        raise ValueError("server: wants one name and properties")
    values = {"name": node.args[0], **node.properties}
    for key, value in values.items():
        if isinstance(value, ckdl.Value):
            raise ValueError(f"{key}: takes no type, not ({value.type_annotation})")
    return values


def _server(one, locations, kinds):
    if one.location not in locations:
        raise ValueError(f"location: {one.location!r} is not among settings.failureDomains")
    if one.kind not in kinds:
        raise ValueError(f"kind: {one.kind!r} is not among settings.shapes")
    if not math.isfinite(one.weight) or one.weight < 0 or one.weight > 1e6:
        raise ValueError(f"weight: must be a number from 0 to 1,000,000, not {one.weight}")
    match = ADDRESS.fullmatch(one.address)
    if not match or not 0 < int(match[1]) < 65_536:
        raise ValueError(f"address: must be HOST:PORT, not {one.address[:60]!r}")
    if one.cold and not one.started:
        raise ValueError(
            "started: is wanted of a cold server: without it the front would send as to a warm one"
        )
    state = EndpointState.DRAINING if one.state == "draining" else EndpointState.SERVING
    entry = Endpoint(
        endpoint_id(one.name),
        locations[one.location],
        kinds[one.kind],
        one.cell,
        state,
        one.weight,
        one.started * MS,
    )
    return Server(entry, one.name, one.address, one.state == "held")


def _fault(file, text, at, key, said):
    """The line is looked for only now: finding all of them would cost more than the parsing."""
    starts = source_locations.starts(text)
    children = starts[0].children if starts else []
    return OperatorFileError(file, children[at].line if at < len(children) else 1, key, said)


def render(servers, locations, kinds):
    """A list as text, which `parse` reads back."""
    places_of, kinds_of = {v: k for k, v in locations.items()}, {v: k for k, v in kinds.items()}
    lines = ["servers {"]
    for server in servers:
        entry = server.entry
        state = "held" if server.held else "draining" if entry.state is EndpointState.DRAINING else "serving"
        lines.append(
            f'    server "{server.name}" address="{server.address}" location="{places_of[entry.location]}" '
            f'kind="{kinds_of[entry.kind]}" cell={entry.cell} weight={entry.weight!r} state="{state}" '
            f"started={entry.started // MS}"
        )
    return "\n".join([*lines, "}", ""])
