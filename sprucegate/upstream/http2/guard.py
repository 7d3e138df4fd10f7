"""The guard: whole frames out of a peer's bytes, with bounds on what costs work and carries nothing.

It stands before h2 for three reasons: a flood is counted before it is worked on; what came well before a faulty
frame is kept; and after a GOAWAY h2 would take nothing more, while the streams not above its last one are still
answered (RFC 9113 section 6.8).
"""

from typing import NamedTuple

DATA, HEADERS, RST_STREAM, SETTINGS, GOAWAY, CONTINUATION = 0, 1, 3, 4, 7, 9
END_STREAM, ACK, END_HEADERS = 0x1, 0x1, 0x4
FRAME_MOST = 16_384  # SETTINGS_MAX_FRAME_SIZE that this side states
BLOCK_MOST = 16_384  # bytes of one header block, as compressed
PARTS_MOST = 8  # CONTINUATION frames of one
ALLOWED = 1000  # frames that carry nothing, in one go
ALLOWED_SECOND = 200  # and each second beyond
EARNED = 4  # by each request sent, and by each KB of a body: both cause such frames
SMALL = 64  # bytes of DATA below which a frame carries next to nothing
PROTOCOL_ERROR, FRAME_SIZE_ERROR, ENHANCE_YOUR_CALM = 0x1, 0x6, 0xB
S = 1_000_000_000


class FrameFault(NamedTuple):
    """The connection can't go on: the code for our GOAWAY, and a text for the log."""

    code: int
    text: str


class Frame(NamedTuple):
    """One whole frame."""

    type: int
    flags: int
    stream: int
    data: bytes  # header and payload


class FrameGuard:
    """Cuts bytes into whole frames and bounds what a peer may make this side do."""

    def __init__(self, now):
        self.held, self.fault, self.begun = bytearray(), None, False
        self.allowed, self.at, self.block, self.parts = ALLOWED, now, 0, 0

    def earn(self, size):
        """Allow the peer more frames, by `size` bytes of data that this side has wanted."""
        self.allowed = min(ALLOWED, self.allowed + EARNED + EARNED * size // 1024)

    def feed(self, data, now):
        """The frames made whole, up to a fault; at most one frame's bytes stay held."""
        held, at, found = self.held, 0, []
        held += data
        self.allowed = min(ALLOWED, self.allowed + (now - self.at) * ALLOWED_SECOND / S)
        self.at = now
        while self.fault is None and len(held) - at >= 9:
            length = held[at] << 16 | held[at + 1] << 8 | held[at + 2]
            if length > FRAME_MOST:
                self.fault = FrameFault(FRAME_SIZE_ERROR, f"a frame of {length} bytes")
            elif len(held) - at < 9 + length:
                break
            else:
                frame = Frame(
                    held[at + 3],
                    held[at + 4],
                    int.from_bytes(held[at + 5 : at + 9], "big") & 0x7FFFFFFF,
                    bytes(held[at : at + 9 + length]),
                )
                self._weigh(frame, length)
                if self.fault is None:
                    found.append(frame)
                at += 9 + length
        del held[:at]
        return found

    def _weigh(self, frame, length):
        kind, flags = frame.type, frame.flags
        if not self.begun:
            # RFC 9113 section 3.4: without it the peer speaks something else.
            self.begun = kind == SETTINGS and not flags & ACK
            if not self.begun:
                self.fault = FrameFault(PROTOCOL_ERROR, "does not begin with SETTINGS")
        if kind == DATA:
            if length >= SMALL or flags & END_STREAM:
                return
        elif kind in (HEADERS, CONTINUATION):
            self.block = length if kind == HEADERS else self.block + length
            self.parts = 0 if kind == HEADERS else self.parts + 1
            if self.block > BLOCK_MOST or self.parts > PARTS_MOST:
                self.fault = FrameFault(ENHANCE_YOUR_CALM, "a header block without end")
        self.allowed -= 1
        if self.allowed < 0:
            self.fault = FrameFault(ENHANCE_YOUR_CALM, "a flood of frames that carry nothing")


def goaway(frame):
    """(last stream, error code) of a GOAWAY, or a Fault: RFC 9113 section 6.8."""
    payload = frame.data[9:]
    if frame.stream or len(payload) < 8:
        return FrameFault(PROTOCOL_ERROR if frame.stream else FRAME_SIZE_ERROR, "a GOAWAY that can't be read")
    return int.from_bytes(payload[:4], "big") & 0x7FFFFFFF, int.from_bytes(payload[4:8], "big")
