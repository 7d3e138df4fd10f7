"""Splits received bytes into HTTP/2 frames, with bounds against peers that cause work by frames without payload.

It runs ahead of h2 for three reasons: a flood of frames is detected before h2 processes it; events of the valid frames
before a malformed one are kept; and after a GOAWAY h2 would accept no further frames, while the streams up to its last
one are still answered (RFC 9113 section 6.8).
"""

from typing import NamedTuple

DATA, HEADERS, RST_STREAM, SETTINGS, GOAWAY, CONTINUATION = 0, 1, 3, 4, 7, 9
END_STREAM, ACK, END_HEADERS = 0x1, 0x1, 0x4
FRAME_SIZE_MAX = 16_384  # the SETTINGS_MAX_FRAME_SIZE that this side announces
HEADER_BLOCK_MAX = 16_384  # bytes of one header block, compressed
CONTINUATIONS_MAX = 8  # CONTINUATION frames of one header block
OVERHEAD_FRAMES_MAX = 1000  # frames with little or no payload in one burst
OVERHEAD_FRAMES_PER_S = 200  # by which that allowance grows again
OVERHEAD_FRAMES_PER_REQUEST = (
    4  # added for each request sent and for each KB of its body: both cause such frames
)
SMALL_DATA = 64  # bytes; a shorter DATA frame counts as overhead
PROTOCOL_ERROR, FRAME_SIZE_ERROR, ENHANCE_YOUR_CALM = 0x1, 0x6, 0xB
S = 1_000_000_000


class FrameFault(NamedTuple):
    """A connection error: the error code for our GOAWAY, and a text for the log."""

    code: int
    text: str


class Frame(NamedTuple):
    """One complete frame."""

    type: int
    flags: int
    stream: int
    data: bytes  # header and payload


class FrameGuard:
    """Splits bytes into complete frames and bounds the work that a peer can cause."""

    def __init__(self, now):
        self.buffer = bytearray()
        self.fault = None
        self.settings_seen = False
        self.overhead_allowance = OVERHEAD_FRAMES_MAX
        self.refilled_at = now
        self.header_block_size = 0
        self.continuations = 0

    def add_allowance(self, size):
        """Allow the peer more overhead frames for a request with a body of `size` bytes."""
        self.overhead_allowance = min(
            OVERHEAD_FRAMES_MAX,
            self.overhead_allowance
            + OVERHEAD_FRAMES_PER_REQUEST
            + OVERHEAD_FRAMES_PER_REQUEST * size // 1024,
        )

    def feed(self, data, now):
        """Return the frames that are complete now, up to the first fault; the bytes of at most one stay buffered."""
        buffer = self.buffer
        start = 0
        frames = []
        buffer += data
        self.overhead_allowance = min(
            OVERHEAD_FRAMES_MAX,
            self.overhead_allowance + (now - self.refilled_at) * OVERHEAD_FRAMES_PER_S / S,
        )
        self.refilled_at = now
        while self.fault is None and len(buffer) - start >= 9:
            length = buffer[start] << 16 | buffer[start + 1] << 8 | buffer[start + 2]
            if length > FRAME_SIZE_MAX:
                self.fault = FrameFault(
                    FRAME_SIZE_ERROR, f"frame of {length} bytes exceeds SETTINGS_MAX_FRAME_SIZE"
                )
            elif len(buffer) - start < 9 + length:
                break
            else:
                frame = Frame(
                    buffer[start + 3],
                    buffer[start + 4],
                    int.from_bytes(buffer[start + 5 : start + 9], "big") & 0x7FFFFFFF,
                    bytes(buffer[start : start + 9 + length]),
                )
                self._check(frame, length)
                if self.fault is None:
                    frames.append(frame)
                start += 9 + length
        del buffer[:start]
        return frames

    def _check(self, frame, length):
        kind, flags = frame.type, frame.flags
        if not self.settings_seen:
            # RFC 9113 section 3.4: a peer that does not begin with SETTINGS speaks another protocol.
            self.settings_seen = kind == SETTINGS and not flags & ACK
            if not self.settings_seen:
                self.fault = FrameFault(PROTOCOL_ERROR, "peer did not begin with a SETTINGS frame")
        if kind == DATA:
            if length >= SMALL_DATA or flags & END_STREAM:
                return
        elif kind in (HEADERS, CONTINUATION):
            self.header_block_size = length if kind == HEADERS else self.header_block_size + length
            self.continuations = 0 if kind == HEADERS else self.continuations + 1
            if self.header_block_size > HEADER_BLOCK_MAX or self.continuations > CONTINUATIONS_MAX:
                self.fault = FrameFault(
                    ENHANCE_YOUR_CALM, "header block exceeds the bound on bytes or CONTINUATION frames"
                )
        self.overhead_allowance -= 1
        if self.overhead_allowance < 0:
            self.fault = FrameFault(ENHANCE_YOUR_CALM, "flood of frames with little or no payload")


def parse_goaway(frame):
    """Return (last stream id, error code) of a GOAWAY frame, or a FrameFault (RFC 9113 section 6.8)."""
    payload = frame.data[9:]
    if frame.stream or len(payload) < 8:
        return FrameFault(PROTOCOL_ERROR if frame.stream else FRAME_SIZE_ERROR, "malformed GOAWAY frame")
    return int.from_bytes(payload[:4], "big") & 0x7FFFFFFF, int.from_bytes(payload[4:8], "big")
