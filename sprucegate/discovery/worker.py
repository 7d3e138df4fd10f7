"""Reads, parses and checks lists in a process of its own, so that 20,000 entries never stall the front's loop.

One JSON line a request on standard input, lines of at most `PIECE` servers each as the answer on standard output.
"""

import sys

import orjson

from sprucegate.config import source_locations
from sprucegate.discovery import list_format, list_reader
from sprucegate.discovery.merged_view import Server
from sprucegate.routing.events import Endpoint, EndpointState

PIECE = 200
STATES = {"serving": EndpointState.SERVING, "draining": EndpointState.DRAINING}


def flat(server):
    one = server.entry
    state = "draining" if one.state is EndpointState.DRAINING else "serving"
    return [
        one.id,
        one.location,
        one.kind,
        one.cell,
        state,
        one.weight,
        one.started,
        server.name,
        server.address,
        server.held,
    ]


def server_of(row):
    at, location, kind, cell, state, weight, started, name, address, held = row
    return Server(Endpoint(at, location, kind, cell, STATES[state], weight, started), name, address, held)


def answers(asked):
    """What is said to one request, as objects: the last one has no `more`."""
    try:
        read = list_reader.read(asked["path"])
        if read.digest == asked["digest"]:
            return [{"same": True}]
        servers = list_format.parse(read.texts, asked["locations"], asked["kinds"])
    except list_reader.FileIncompleteError as fault:
        return [{"unsettled": str(fault)}]
    except source_locations.OperatorFileError as fault:
        return [{"faulty": [fault.file, fault.line, fault.key, fault.text]}]
    pieces = [servers[at : at + PIECE] for at in range(0, len(servers), PIECE)]
    return [
        {"digest": read.digest, "servers": list(map(flat, piece)), "more": at + 1 < len(pieces)}
        for at, piece in enumerate(pieces)
    ]


def main():
    for line in sys.stdin.buffer:
        for said in answers(orjson.loads(line)):
            sys.stdout.buffer.write(orjson.dumps(said) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
