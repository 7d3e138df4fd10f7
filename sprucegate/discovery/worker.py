"""Reads, parses and checks lists in a process of its own, so that a long one never stalls the front's loop.

One JSON line a request on standard input; lines of at most PIECE_SIZE servers each as the answer on standard output.
The keys of the lines are shared with `service`.
"""

import sys
from typing import Any

import orjson

from sprucegate.config import source_locations
from sprucegate.discovery import list_format, list_reader
from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState

PIECE_SIZE = 200
STATES = {"serving": EndpointState.SERVING, "draining": EndpointState.DRAINING}


def flat(server: Server) -> list[Any]:
    """Return a server as a row of plain values, as it goes through the pipe and into the snapshot."""
    entry = server.entry
    state = "draining" if entry.state is EndpointState.DRAINING else "serving"
    return [
        entry.id,
        entry.location,
        entry.kind,
        entry.cell,
        state,
        entry.weight,
        entry.started,
        server.name,
        server.address,
        server.held,
    ]


def server_of(row: list[Any]) -> Server:
    """Return the server of a row that `flat` made; raises ValueError or KeyError for another one."""
    number, location, kind, cell, state, weight, started, name, address, held = row
    entry = Endpoint(number, location, kind, cell, STATES[state], weight, started)
    return Server(entry, name, address, held)


def answers(request: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the answer to one request, as objects for one line each; the last one has no true `more`."""
    try:
        contents = list_reader.read(request["path"])
        if contents.digest == request["digest"]:
            return [{"same": True}]
        servers = list_format.parse(contents.texts, request["locations"], request["kinds"])
    except list_reader.FileIncompleteError as fault:
        return [{"unsettled": str(fault)}]
    except source_locations.OperatorFileError as fault:
        return [{"faulty": [fault.file, fault.line, fault.key, fault.text]}]
    pieces = [servers[begin : begin + PIECE_SIZE] for begin in range(0, len(servers), PIECE_SIZE)]
    return [
        {
            "digest": contents.digest,
            "servers": [flat(server) for server in piece],
            "more": index + 1 < len(pieces),
        }
        for index, piece in enumerate(pieces)
    ]


def main() -> None:
    """Answer requests until standard input ends."""
    for line in sys.stdin.buffer:
        for answer in answers(orjson.loads(line)):
            sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
