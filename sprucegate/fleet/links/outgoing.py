"""What waits to be sent to one peer: bounded, guard facts by key, the latest word of a key alone. No I/O."""

from collections import OrderedDict, deque

from sprucegate.fleet.links import codec
from sprucegate.fleet.replica.replica import CHUNK, Evidence, Tell

SAID_MOST = 512 << 10  # bytes of what the protocol itself says
PIECES_MOST = 4 << 20  # bytes of transfers
FACTS_MOST = 20_000  # keys that spread
ONCE = 64 << 10  # bytes handed over in one go


class Outgoing:
    def __init__(self):
        self.said, self.pieces, self.facts = deque(), deque(), OrderedDict()
        self.said_bytes = self.piece_bytes = self.dropped = 0
        self.evidence = None  # the latest alone: an older one is worth nothing beside it

    def __bool__(self):
        return bool(self.said or self.pieces or self.facts or self.evidence)

    def put(self, message, guard):
        if isinstance(message, Tell) and not message.transfer:
            for fact in message.facts:
                self.facts[fact.key] = fact
            while len(self.facts) > FACTS_MOST:
                # The peer's digest will differ and it asks: nothing is lost by what is left out here.
                self.facts.popitem(last=False)
                self.dropped += 1
            return
        if isinstance(message, Evidence):
            self.evidence = message
            return
        data = codec.frame(message)
        if guard:
            if self.piece_bytes + len(data) > PIECES_MOST:
                self.dropped += 1  # the transfer never becomes whole, and is asked for again
                return
            self.pieces.append(data)
            self.piece_bytes += len(data)
            return
        self.said.append(data)
        self.said_bytes += len(data)
        while self.said_bytes > SAID_MOST and len(self.said) > 1:
            self.said_bytes -= len(self.said.popleft())
            self.dropped += 1

    def take(self):
        """The next bytes: what the protocol says, then facts that spread, then transfers, evidence last."""
        out, size = [], 0
        while size < ONCE:
            if self.said:
                data = self.said.popleft()
                self.said_bytes -= len(data)
            elif self.facts:
                chosen = [self.facts.popitem(last=False)[1] for _ in range(min(CHUNK, len(self.facts)))]
                data = codec.frame(Tell(chosen, 0, 0))
            elif self.pieces:
                data = self.pieces.popleft()
                self.piece_bytes -= len(data)
            elif self.evidence is not None:
                data, self.evidence = codec.frame(self.evidence), None
            else:
                break
            out.append(data)
            size += len(data)
        return b"".join(out)
