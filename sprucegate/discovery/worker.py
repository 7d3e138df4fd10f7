"""Reads, parses and checks lists in a separate process, so that a long one never blocks the front's event loop.

A request is one line of JSON on standard input; the answer is lines of at most BATCH_SIZE servers each on standard
output. `service` uses the same keys.
"""

import sys
from typing import Any

import orjson

from sprucegate.config import source_locations
from sprucegate.discovery import list_format, list_reader
from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState

BATCH_SIZE = 200
STATES = {"serving": EndpointState.SERVING, "draining": EndpointState.DRAINING}


def row_of(server: Server) -> list[Any]:
    """Return a server as a row of plain values, as sent through the pipe and stored in snapshots."""
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
    """Return the server of a row that `row_of` returned; raises ValueError or KeyError for an invalid row."""
    number, location, kind, cell, state, weight, started, name, address, held = row
    entry = Endpoint(number, location, kind, cell, STATES[state], weight, started)
    return Server(entry, name, address, held)


def answers(request: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the answer to one request as a list of lines; `more` is true in all but the last."""
    try:
        contents = list_reader.read(request["path"])
        if contents.digest == request["digest"]:
            return [{"same": True}]
        servers = list_format.parse(contents.texts, request["locations"], request["kinds"])
    except list_reader.FileIncompleteError as fault:
        return [{"unsettled": str(fault)}]
    except source_locations.OperatorFileError as fault:
        return [{"faulty": [fault.file, fault.line, fault.key, fault.text]}]
    batches = [servers[begin : begin + BATCH_SIZE] for begin in range(0, len(servers), BATCH_SIZE)]
    return [
        {
            "digest": contents.digest,
            "servers": [row_of(server) for server in batch],
            "more": index + 1 < len(batches),
        }
        for index, batch in enumerate(batches)
    ]


def main() -> None:
    """Answer requests until standard input ends."""
    for line in sys.stdin.buffer:
        for answer in answers(orjson.loads(line)):
            sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
