"""One HTTP/2 connection without I/O: h2 behind the guard, the streams on it, and what has left the front of each.

Bytes in and the time (ns) give events as values; bytes out stand in `outgoing`, and `sent` tells how many of them
the socket took. A fault is a value too: the caller then writes what is left, closes, and judges each stream.
"""

from typing import NamedTuple

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    InformationalResponseReceived,
    PingAckReceived,
    RemoteSettingsChanged,
    ResponseReceived,
    SettingsAcknowledged,
    StreamEnded,
    StreamReset,
    TrailersReceived,
    WindowUpdated,
)
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings
from hpack import Encoder

from sprucegate.upstream.http2 import guard
from sprucegate.upstream.http2.evidence import CANCEL, WriteProgress
from sprucegate.upstream.http2.guard import FrameFault, FrameGuard
from sprucegate.upstream.http2.mapping import BODY_MOST

STREAM_WINDOW = 262_144  # above BODY_MOST: a whole answer fits without a window update of its own
CONNECTION_WINDOW = 1 << 20
LIST_MOST = 16_384  # bytes of a header list, uncompressed
INTERIM_MOST = 8  # 1xx answers of one stream (RFC 9110 section 15.2)
UNSENT_MOST = 262_144  # bytes that wait for a peer that does not read; bodies wait before them
LATE_FIELDS = (b"spruce-load", b"server-timing")  # that may stand in trailers
NO_ERROR = 0x0
WALK = 128  # requests between two walks over h2's streams


class Ready(NamedTuple):
    """The peer's first SETTINGS."""

    limit: int


class Limited(NamedTuple):
    """The peer allows so many streams at a time."""

    limit: int


class Acknowledged(NamedTuple):
    """Of our SETTINGS."""


class Ponged(NamedTuple):
    """An answer to our PING."""


class GoneAway(NamedTuple):
    """GOAWAY: the streams `above` its last one never ran, the others may still be answered."""

    last: int
    code: int
    above: list


class Answered(NamedTuple):
    """A response is whole."""

    stream: object
    status: int
    fields: dict
    body: bytes


class Reset(NamedTuple):
    """A stream reset by the peer with `code`."""

    stream: object
    code: int


class Spoilt(NamedTuple):
    """A stream that this side reset: what came on it is past a bound. It may have run."""

    stream: object
    why: str


class Stream:
    """One request on its stream."""

    __slots__ = (
        "id",
        "out",
        "cached_only",
        "first",
        "head_end",
        "rest",
        "status",
        "fields",
        "body",
        "heard",
        "interim",
    )

    def __init__(self, number, out, cached_only, first, head_end, rest):
        self.id, self.out, self.cached_only = number, out, cached_only
        self.first, self.head_end, self.rest = (
            first,
            head_end,
            rest,
        )  # where its header block lies in the bytes
        self.status, self.fields, self.body, self.heard, self.interim = 0, {}, None, 0, 0


class Counted(H2Connection):
    """h2 walks all its streams to count the open ones before each request: at 1,000 of them over half of its cost.

    The pool keeps the peer's limit already. The walk also forgets closed streams, so it is still made now and then.
    """

    asked = 0

    @property
    def open_outbound_streams(self):
        """Return the open streams, which h2 would count anew for each request."""
        self.asked += 1
        return super().open_outbound_streams if self.asked % WALK == 0 else 0


class Plain(Encoder):
    """Literals without Huffman's code, which RFC 7541 section 5.2 leaves open: a fifth more bytes, less CPU."""

    def encode(self, headers, huffman=False):
        """Encode header fields without Huffman coding."""
        return super().encode(headers, huffman)


class Http2Session:
    """One HTTP/2 connection as a client, without I/O: bytes in, events and bytes out."""

    def __init__(self, held_most, now):
        self.h2 = Counted(
            H2Configuration(
                client_side=True,
                header_encoding=False,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,
            )
        )
        self.h2.encoder = Plain()
        self.h2.local_settings = Settings(
            client=True,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
                SettingCodes.MAX_FRAME_SIZE: guard.FRAME_MOST,
                SettingCodes.MAX_HEADER_LIST_SIZE: LIST_MOST,
            },
        )
        self.h2.decoder.max_header_list_size = LIST_MOST
        self.guard, self.fault, self.streams, self.uploads, self.answers = FrameGuard(now), None, {}, {}, {}
        self.outgoing, self.made, self.gone = bytearray(), 0, 0
        self.held, self.held_most, self.taken = 0, held_most, 0
        self.last, self.ready, self.heard = None, False, now
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW - 65_535)
        self._collect()

    # What this side does.

    def request(self, out, fields, body, cached_only):
        """Begins a stream; the Stream, or None where h2 has none to give."""
        first = self.made
        try:
            number = self.h2.get_next_available_stream_id()
            self.h2.send_headers(number, fields, end_stream=not body)
        except H2Error:
            return None
        self._collect()
        stream = self.streams[number] = Stream(number, out, cached_only, first, self.made, body)
        self.guard.earn(len(body))
        if body:
            self.uploads[number] = stream
            self._pump()
        return stream

    def cancel(self, stream, code=CANCEL):
        """RST_STREAM; frames of it that still come harm nobody (RFC 9113 section 5.1)."""
        if self._forget(stream):
            self._reset(stream.id, code)

    def _reset(self, number, code):
        try:
            self.h2.reset_stream(number, code)
        except H2Error:
            return  # it had ended on both sides
        self._collect()

    def ping(self):
        """Send a PING."""
        self.h2.ping(b"spruceg8")
        self._collect()

    def close(self, code=NO_ERROR):
        """Says GOAWAY; the caller closes the socket."""
        try:
            self.h2.close_connection(ErrorCodes(code))
        except (H2Error, ValueError):
            return
        self._collect()

    def sent(self, size):
        """So many bytes of `outgoing` have left."""
        del self.outgoing[:size]
        self.gone += size
        if self.uploads:
            self._pump()

    def stuck(self):
        """Whether the peer takes too little of what waits."""
        return len(self.outgoing) > UNSENT_MOST

    def written(self, stream):
        """Return how much of a request has left."""
        if self.gone >= stream.head_end:
            return WriteProgress.WHOLE
        return WriteProgress.PART if self.gone > stream.first else WriteProgress.NOTHING

    def stalled(self, limit, now):
        """Streams whose answer was begun and has had no byte: the peer may serve others first, but not for long."""
        quiet = now - self.heard >= limit
        return [s for s in self.answers.values() if now - s.heard >= (limit if quiet else 4 * limit)]

    # What the peer does.

    def feed(self, data, now):
        """Events in their order; `fault` is set once the connection can't go on, after what came well."""
        said = []
        for frame in self.guard.feed(data, now):
            if frame.type == guard.GOAWAY:
                self._goaway(frame, said)
            else:
                try:
                    events = self.h2.receive_data(frame.data)
                except H2Error as fault:
                    self.fault = FrameFault(
                        getattr(fault, "error_code", 1), f"{type(fault).__name__}: {fault}"[:200]
                    )
                    self._collect()
                    break
                for event in events:
                    self._happened(event, said, now)
            if self.fault:
                break
        if self.taken >= CONNECTION_WINDOW // 4:
            self.h2.increment_flow_control_window(self.taken)
            self.taken = 0
        self.fault = self.fault or self.guard.fault
        self._collect()
        return said

    def _goaway(self, frame, said):
        read = guard.goaway(frame)
        if isinstance(read, FrameFault):
            self.fault = read
            return
        last, code = read
        # A later one may only be lower; a higher one takes nothing back of what was proved.
        self.last = last if self.last is None else min(self.last, last)
        above = [s for number, s in self.streams.items() if number > self.last]
        for stream in above:
            self._forget(stream)
        said.append(GoneAway(self.last, code, above))

    def _happened(self, event, said, now):
        match event:
            case DataReceived():
                self.taken += event.flow_controlled_length
                if event.data and (stream := self.streams.get(event.stream_id)) is not None:
                    self._data(stream, event.data, said, now)
            case ResponseReceived():
                self._answer_begins(event, said, now)
            case StreamEnded():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self._forget(stream)
                    if stream.rest:  # answered before all of the body was wanted (RFC 9113 section 8.1)
                        self._reset(stream.id, NO_ERROR)
                    body = b"" if stream.body is None else bytes(stream.body)
                    said.append(Answered(stream, stream.status, stream.fields, body))
            case StreamReset():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self._forget(stream)
                    said.append(Reset(stream, int(event.error_code)))
            case InformationalResponseReceived():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    stream.interim += 1
                    if stream.interim > INTERIM_MOST:
                        self._spoil(stream, "1xx without end", said)
            case TrailersReceived():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    stream.fields.update((n, v) for n, v in event.headers if n in LATE_FIELDS)
            case RemoteSettingsChanged():
                limit = self.h2.remote_settings.max_concurrent_streams
                said.append(Limited(limit) if self.ready else Ready(limit))
                self.ready = True
                self._pump()
            case WindowUpdated():
                if self.uploads:
                    self._pump()
            case SettingsAcknowledged():
                said.append(Acknowledged())
            case PingAckReceived():
                said.append(Ponged())

    def _answer_begins(self, event, said, now):
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        fields = {}
        for name, value in event.headers:
            # Several of one name are one list (RFC 9110 section 5.3).
            fields[name] = fields[name] + b", " + value if name in fields else value
        stream.status, stream.fields, stream.heard = int(fields.pop(b":status")), fields, now
        self.answers[stream.id] = stream
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_MOST:
            self._spoil(stream, f"an answer of {length[:20].decode()} bytes", said)

    def _data(self, stream, data, said, now):
        if stream.body is None:
            stream.body = bytearray()
        stream.body += data
        stream.heard = self.heard = now
        self.held += len(data)
        if len(stream.body) > BODY_MOST:
            self._spoil(stream, "an answer longer than its bound", said)
        elif self.held > self.held_most:
            # The largest goes: it alone may be what fills this connection's memory.
            most = max(self.streams.values(), key=lambda s: len(s.body or b""))
            self._spoil(most, "more held than the connection's bound", said)

    def _spoil(self, stream, why, said):
        self.cancel(stream)
        said.append(Spoilt(stream, why))

    def _forget(self, stream):
        if self.streams.pop(stream.id, None) is None:
            return False
        self.uploads.pop(stream.id, None)
        self.answers.pop(stream.id, None)
        self.held -= len(stream.body or b"")
        return True

    def _pump(self):
        """Bodies as far as both windows let them (RFC 9113 section 6.9)."""
        for number, stream in list(self.uploads.items()):
            while stream.rest and len(self.outgoing) <= UNSENT_MOST:
                size = min(
                    self.h2.local_flow_control_window(number),
                    self.h2.max_outbound_frame_size,
                    len(stream.rest),
                )
                if size <= 0:
                    break
                chunk, stream.rest = stream.rest[:size], stream.rest[size:]
                self.h2.send_data(number, chunk, end_stream=not stream.rest)
                self._collect()
            if not stream.rest:
                del self.uploads[number]

    def _collect(self):
        data = self.h2.data_to_send()
        self.outgoing += data
        self.made += len(data)
