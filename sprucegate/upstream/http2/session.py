"""One HTTP/2 connection without I/O: h2 behind the frame guard, its streams, and how much of each request was sent.

`receive` turns received bytes into events; bytes to send collect in `outgoing`, and the caller reports by `bytes_sent`
how many of them the socket took. Times are passed in (ns). A connection error is a value too (`fault`): the caller then
sends what is left, closes the connection and determines the outcome of each stream.
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
from sprucegate.upstream.http2.mapping import BODY_MAX

STREAM_WINDOW = 262_144  # above BODY_MAX: a whole response fits without a WINDOW_UPDATE of its stream
CONNECTION_WINDOW = 1 << 20
HEADER_LIST_MAX = 16_384  # bytes of a header list, uncompressed
INTERIM_RESPONSES_MAX = 8  # 1xx responses on one stream (RFC 9110 section 15.2)
UNSENT_MAX = (
    262_144  # unsent bytes above which the peer counts as not reading; request bodies are then held back
)
TRAILER_FIELDS = (b"spruce-load", b"server-timing")  # accepted in trailers
NO_ERROR = 0x0
STREAM_COUNT_INTERVAL = 128  # requests between two of h2's walks over its streams


class SettingsReceived(NamedTuple):
    """The peer's first SETTINGS arrived; `limit` is its SETTINGS_MAX_CONCURRENT_STREAMS."""

    limit: int


class StreamLimitChanged(NamedTuple):
    """The peer changed its SETTINGS_MAX_CONCURRENT_STREAMS to `limit`."""

    limit: int


class SettingsAcked(NamedTuple):
    """The peer acknowledged our SETTINGS."""


class PongReceived(NamedTuple):
    """The peer answered our PING."""


class GoAwayReceived(NamedTuple):
    """GOAWAY: the streams `above` its last one were never processed, the others may still be answered."""

    last: int
    code: int
    above: list


class ResponseComplete(NamedTuple):
    """A response was received completely."""

    stream: object
    status: int
    fields: dict
    body: bytes


class ResetByPeer(NamedTuple):
    """The peer reset a stream with the error code `code`."""

    stream: object
    code: int


class StreamAborted(NamedTuple):
    """This side reset a stream, as what it received exceeds a bound. The request may have been executed."""

    stream: object
    why: str


class Stream:
    """One request and its response.

    :ivar id: the stream id
    :ivar request: the caller's handle of the request
    :ivar cached_only: whether the request has the directive only-if-cached
    :ivar head_start: position of its header block among all bytes to send
    :ivar head_end: position of the end of its header block
    :ivar unsent_body: the part of the request's body that was not handed to h2 yet
    :ivar status: the response's status, 0 before its header fields arrived
    :ivar fields: the response's header fields
    :ivar body: what was received of the response's body, None before the first DATA
    :ivar last_data: time of the response's header fields or of its last DATA (ns)
    :ivar interim_responses: number of 1xx responses
    """

    __slots__ = (
        "id",
        "request",
        "cached_only",
        "head_start",
        "head_end",
        "unsent_body",
        "status",
        "fields",
        "body",
        "last_data",
        "interim_responses",
    )

    def __init__(self, number, request, cached_only, head_start, head_end, unsent_body):
        self.id = number
        self.request = request
        self.cached_only = cached_only
        self.head_start = head_start
        self.head_end = head_end
        self.unsent_body = unsent_body
        self.status = 0
        self.fields = {}
        self.body = None
        self.last_data = 0
        self.interim_responses = 0


class FastOpenH2Connection(H2Connection):
    """Opens streams without counting the open ones each time.

    h2 walks all its streams to count the open ones before each request: with 1,000 of them this is over half of a
    request's cost. The pool already enforces the peer's limit. The walk also drops closed streams, so it is still made
    once in STREAM_COUNT_INTERVAL.
    """

    count_queries = 0

    @property
    def open_outbound_streams(self):
        """Return the number of open streams, or 0 for most queries, so that h2 never refuses a stream."""
        self.count_queries += 1
        return super().open_outbound_streams if self.count_queries % STREAM_COUNT_INTERVAL == 0 else 0


class LiteralEncoder(Encoder):
    """Encodes string literals without Huffman coding, which is optional (RFC 7541 section 5.2).

    It costs a fifth more bytes and saves CPU time.
    """

    def encode(self, headers, huffman=False):
        """Encode header fields without Huffman coding."""
        return super().encode(headers, huffman)


class Http2Session:
    """The client side of one HTTP/2 connection, without I/O: bytes in, events and bytes out.

    :ivar streams: the streams whose response is not complete, by id
    :ivar uploads: those of them with an unsent body
    :ivar partial_responses: those of them with a response that has begun
    :ivar outgoing: bytes that the socket has not taken yet
    :ivar produced: number of bytes ever put into `outgoing`
    :ivar taken: number of them that the socket took
    :ivar buffered: bytes of partial response bodies
    :ivar buffered_max: the bound on `buffered`
    :ivar uncredited: received bytes that no WINDOW_UPDATE of the connection covers yet
    :ivar goaway_last: lowest last stream id of the GOAWAYs received, None without one
    :ivar ready: whether the peer's SETTINGS arrived
    :ivar last_data: time of the last DATA on any stream (ns)
    """

    def __init__(self, buffered_max, now):
        self.h2 = FastOpenH2Connection(
            H2Configuration(
                client_side=True,
                header_encoding=False,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,
            )
        )
        self.h2.encoder = LiteralEncoder()
        self.h2.local_settings = Settings(
            client=True,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW,
                SettingCodes.MAX_FRAME_SIZE: guard.FRAME_SIZE_MAX,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEADER_LIST_MAX,
            },
        )
        self.h2.decoder.max_header_list_size = HEADER_LIST_MAX
        self.guard = FrameGuard(now)
        self.fault = None
        self.streams = {}
        self.uploads = {}
        self.partial_responses = {}
        self.outgoing = bytearray()
        self.produced = 0
        self.taken = 0
        self.buffered = 0
        self.buffered_max = buffered_max
        self.uncredited = 0
        self.goaway_last = None
        self.ready = False
        self.last_data = now
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW - 65_535)
        self._collect_output()

    # What this side sends.

    def send_request(self, request, fields, body, cached_only):
        """Open a stream for a request; return the Stream, or None if h2 can open none."""
        head_start = self.produced
        try:
            number = self.h2.get_next_available_stream_id()
            self.h2.send_headers(number, fields, end_stream=not body)
        except H2Error:
            return None
        self._collect_output()
        stream = self.streams[number] = Stream(number, request, cached_only, head_start, self.produced, body)
        self.guard.add_allowance(len(body))
        if body:
            self.uploads[number] = stream
            self._send_bodies()
        return stream

    def cancel(self, stream, code=CANCEL):
        """Send RST_STREAM; frames of the stream that still arrive are ignored (RFC 9113 section 5.1)."""
        if self._remove(stream):
            self._reset(stream.id, code)

    def _reset(self, number, code):
        try:
            self.h2.reset_stream(number, code)
        except H2Error:
            return  # the stream is closed on both sides
        self._collect_output()

    def ping(self):
        """Send a PING."""
        self.h2.ping(b"spruceg8")
        self._collect_output()

    def close(self, code=NO_ERROR):
        """Send a GOAWAY; the caller closes the socket."""
        try:
            self.h2.close_connection(ErrorCodes(code))
        except (H2Error, ValueError):
            return
        self._collect_output()

    def bytes_sent(self, size):
        """Remove `size` bytes from `outgoing`, which the socket has taken."""
        del self.outgoing[:size]
        self.taken += size
        if self.uploads:
            self._send_bodies()

    def is_write_blocked(self):
        """Return whether so much is unsent that the peer counts as not reading."""
        return len(self.outgoing) > UNSENT_MAX

    def write_progress(self, stream):
        """Return how much of a request the socket took."""
        if self.taken >= stream.head_end:
            return WriteProgress.COMPLETE
        return WriteProgress.PARTIAL if self.taken > stream.head_start else WriteProgress.NOTHING

    def stalled(self, limit, now):
        """Return the streams with a partial response and no data for `limit` ns.

        While other streams receive data the limit is four times as long: the peer may send their responses first.
        """
        quiet = now - self.last_data >= limit
        return [
            s for s in self.partial_responses.values() if now - s.last_data >= (limit if quiet else 4 * limit)
        ]

    # What the peer sends.

    def receive(self, data, now):
        """Return the events of received bytes, in order.

        `fault` is set when the connection can't continue; events of the valid frames before the error are returned.
        """
        found = []
        for frame in self.guard.feed(data, now):
            if frame.type == guard.GOAWAY:
                self._on_goaway(frame, found)
            else:
                try:
                    events = self.h2.receive_data(frame.data)
                except H2Error as fault:
                    self.fault = FrameFault(
                        getattr(fault, "error_code", 1), f"{type(fault).__name__}: {fault}"[:200]
                    )
                    self._collect_output()
                    break
                for event in events:
                    self._on_event(event, found, now)
            if self.fault:
                break
        if self.uncredited >= CONNECTION_WINDOW // 4:
            self.h2.increment_flow_control_window(self.uncredited)
            self.uncredited = 0
        self.fault = self.fault or self.guard.fault
        self._collect_output()
        return found

    def _on_goaway(self, frame, found):
        parsed = guard.parse_goaway(frame)
        if isinstance(parsed, FrameFault):
            self.fault = parsed
            return
        last, code = parsed
        # A later GOAWAY may only lower the last stream id; a higher one does not revoke what was proved.
        self.goaway_last = last if self.goaway_last is None else min(self.goaway_last, last)
        above = [s for number, s in self.streams.items() if number > self.goaway_last]
        for stream in above:
            self._remove(stream)
        found.append(GoAwayReceived(self.goaway_last, code, above))

    def _on_event(self, event, found, now):
        match event:
            case DataReceived():
                self.uncredited += event.flow_controlled_length
                if event.data and (stream := self.streams.get(event.stream_id)) is not None:
                    self._on_data(stream, event.data, found, now)
            case ResponseReceived():
                self._on_response_begun(event, found, now)
            case StreamEnded():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self._remove(stream)
                    if stream.unsent_body:  # answered without the whole request body (RFC 9113 section 8.1)
                        self._reset(stream.id, NO_ERROR)
                    body = b"" if stream.body is None else bytes(stream.body)
                    found.append(ResponseComplete(stream, stream.status, stream.fields, body))
            case StreamReset():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    self._remove(stream)
                    found.append(ResetByPeer(stream, int(event.error_code)))
            case InformationalResponseReceived():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    stream.interim_responses += 1
                    if stream.interim_responses > INTERIM_RESPONSES_MAX:
                        self._abort(stream, "too many interim (1xx) responses", found)
            case TrailersReceived():
                if (stream := self.streams.get(event.stream_id)) is not None:
                    stream.fields.update((n, v) for n, v in event.headers if n in TRAILER_FIELDS)
            case RemoteSettingsChanged():
                limit = self.h2.remote_settings.max_concurrent_streams
                found.append(StreamLimitChanged(limit) if self.ready else SettingsReceived(limit))
                self.ready = True
                self._send_bodies()
            case WindowUpdated():
                if self.uploads:
                    self._send_bodies()
            case SettingsAcknowledged():
                found.append(SettingsAcked())
            case PingAckReceived():
                found.append(PongReceived())

    def _on_response_begun(self, event, found, now):
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        fields = {}
        for name, value in event.headers:
            # Fields of the same name are combined into one list (RFC 9110 section 5.3).
            fields[name] = fields[name] + b", " + value if name in fields else value
        stream.status = int(fields.pop(b":status"))
        stream.fields = fields
        stream.last_data = now
        self.partial_responses[stream.id] = stream
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_MAX:
            self._abort(stream, f"response of {length[:20].decode()} bytes exceeds {BODY_MAX}", found)

    def _on_data(self, stream, data, found, now):
        if stream.body is None:
            stream.body = bytearray()
        stream.body += data
        stream.last_data = self.last_data = now
        self.buffered += len(data)
        if len(stream.body) > BODY_MAX:
            self._abort(stream, f"response exceeds {BODY_MAX} bytes", found)
        elif self.buffered > self.buffered_max:
            # The largest one is aborted: it alone may be what fills this connection's memory.
            largest = max(self.streams.values(), key=lambda s: len(s.body or b""))
            self._abort(
                largest, f"partial responses on one connection exceed {self.buffered_max} bytes", found
            )

    def _abort(self, stream, why, found):
        self.cancel(stream)
        found.append(StreamAborted(stream, why))

    def _remove(self, stream):
        if self.streams.pop(stream.id, None) is None:
            return False
        self.uploads.pop(stream.id, None)
        self.partial_responses.pop(stream.id, None)
        self.buffered -= len(stream.body or b"")
        return True

    def _send_bodies(self):
        """Send request bodies as far as both flow-control windows allow (RFC 9113 section 6.9)."""
        for number, stream in list(self.uploads.items()):
            while stream.unsent_body and len(self.outgoing) <= UNSENT_MAX:
                size = min(
                    self.h2.local_flow_control_window(number),
                    self.h2.max_outbound_frame_size,
                    len(stream.unsent_body),
                )
                if size <= 0:
                    break
                chunk, stream.unsent_body = stream.unsent_body[:size], stream.unsent_body[size:]
                self.h2.send_data(number, chunk, end_stream=not stream.unsent_body)
                self._collect_output()
            if not stream.unsent_body:
                del self.uploads[number]

    def _collect_output(self):
        data = self.h2.data_to_send()
        self.outgoing += data
        self.produced += len(data)
