"""The HTTP/2 session without a socket: events, bounds, evidence, and the mapping of requests and responses."""

import struct

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, RequestReceived, StreamEnded, StreamReset
from h2.settings import SettingCodes, Settings

from sprucegate.front.open_requests import OpenRequest
from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, Request
from sprucegate.upstream.http2 import evidence, mapping
from sprucegate.upstream.http2.evidence import WriteProgress
from sprucegate.upstream.http2.session import (
    GoAwayReceived,
    Http2Session,
    ResetByPeer,
    ResponseComplete,
    SettingsAcked,
    SettingsReceived,
    StreamAborted,
    StreamLimitChanged,
)
from standins.http2 import frame, goaway

S = 1_000_000_000
FIELDS = [(b":method", b"GET"), (b":scheme", b"http"), (b":authority", b"a"), (b":path", b"/svc/m/1/slice-0")]
PUT = [(b":method", b"PUT"), *FIELDS[1:]]
EMPTY_SETTINGS = frame(4, 0, 0)


class Pair:
    """A session and an h2 server that exchange bytes in memory."""

    def __init__(self, held=4 << 20, **settings):
        self.session, self.now, self.requests, self.bodies, self.resets = Http2Session(held, 0), 0, [], {}, {}
        self.server = H2Connection(
            H2Configuration(client_side=False, header_encoding=False, validate_inbound_headers=False)
        )
        codes = {"limit": SettingCodes.MAX_CONCURRENT_STREAMS, "window": SettingCodes.INITIAL_WINDOW_SIZE}
        self.server.local_settings = Settings(
            client=False, initial_values={codes[k]: v for k, v in {"limit": 100, **settings}.items()}
        )
        self.server.initiate_connection()
        self.events = self.exchange() + self.exchange()

    def exchange(self, raw=b""):
        """Pass the session's output to the server, and the server's output and then `raw` to the session.

        Return the session's events.
        """
        out = bytes(self.session.outgoing)
        self.session.bytes_sent(len(out))
        for event in self.server.receive_data(out) if out else []:
            if isinstance(event, RequestReceived):
                self.requests.append(event.stream_id)
            elif isinstance(event, DataReceived):
                self.bodies[event.stream_id] = self.bodies.get(event.stream_id, b"") + event.data
                if event.data:
                    self.server.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, StreamEnded):
                self.bodies.setdefault(event.stream_id, b"")
            elif isinstance(event, StreamReset):
                self.resets[event.stream_id] = int(event.error_code)
        return self.session.receive(self.server.data_to_send() + raw, self.now)

    def request(self, request="g", fields=FIELDS, body=b"", cached_only=False):
        return self.session.send_request(request, fields, body, cached_only)


def test_settings_exchange_and_a_response_with_interim_response_padding_and_trailers():
    pair = Pair(limit=7)
    assert SettingsReceived(7) in pair.events and any(isinstance(s, SettingsAcked) for s in pair.events)
    stream = pair.request()
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"103"), (b"link", b"x")])
    pair.server.send_headers(1, [(b":status", b"200"), (b"etag", b'"t"')])
    pair.server.send_data(1, b"abc", pad_length=200)
    pair.server.send_data(1, b"def")
    pair.server.send_headers(1, [(b"spruce-load", b"busy=0.5"), (b"other", b"x")], end_stream=True)
    assert pair.exchange() == [
        ResponseComplete(stream, 200, {b"etag": b'"t"', b"spruce-load": b"busy=0.5"}, b"abcdef")
    ]
    assert pair.session.buffered == 0 and not pair.session.streams
    pair.server.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: 0})
    assert pair.exchange() == [StreamLimitChanged(0)]


def test_a_request_body_is_sent_as_the_flow_control_windows_allow():
    pair = Pair(window=1)
    stream = pair.request(fields=PUT, body=b"b" * 300)
    pair.exchange()
    assert len(pair.bodies[1]) == 1 and pair.session.write_progress(stream) is WriteProgress.COMPLETE
    for _ in range(700):  # the server acknowledges each byte, which opens the window by one
        pair.exchange()
    assert pair.bodies[1] == b"b" * 300 and not pair.session.uploads


def test_a_closed_stream_window_does_not_block_other_streams():
    pair = Pair(window=0)
    pair.request("put", PUT, b"b" * 48_000)
    get = pair.request("get")
    pair.exchange()
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    assert pair.exchange() == [ResponseComplete(get, 200, {}, b"")]
    assert pair.session.produced < 1000  # no DATA beyond the window was produced


def test_an_overflow_of_the_connection_window_is_a_connection_error():
    pair = Pair()
    pair.request()
    pair.exchange(frame(8, 0, 0, struct.pack(">I", 2**31 - 1)))
    assert pair.session.fault is not None


def test_a_response_before_the_end_of_the_request_body_is_complete():
    pair = Pair(window=10)
    stream = pair.request(fields=PUT, body=b"b" * 100)
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"200")], end_stream=True)
    assert pair.exchange() == [ResponseComplete(stream, 200, {}, b"")]
    pair.exchange()
    assert 1 in pair.resets and not pair.session.uploads


def test_a_goaway_ends_the_streams_above_its_last_one_and_the_others_are_still_answered():
    pair = Pair()
    streams = [pair.request(n) for n in range(6)]
    pair.exchange()
    assert pair.exchange(goaway(2**31 - 1)) == [GoAwayReceived(2**31 - 1, 0, [])]
    assert pair.exchange(goaway(7)) == [GoAwayReceived(7, 0, streams[4:])]
    assert pair.exchange(goaway(5)) == [GoAwayReceived(5, 0, [streams[3]])]
    assert pair.exchange(goaway(9)) == [GoAwayReceived(5, 0, [])]  # a higher last stream id revokes nothing
    pair.server.send_headers(5, [(b":status", b"200")], end_stream=True)
    assert pair.exchange() == [ResponseComplete(streams[2], 200, {}, b"")]
    end = [
        evidence.of_end(pair.session.write_progress(s), s.id, pair.session.goaway_last) for s in streams[:2]
    ]
    assert end == [evidence.ENDED_AFTER_GOAWAY] * 2 and list(pair.session.streams) == [1, 3]


def test_a_goaway_with_last_stream_0_ends_all_streams():
    pair = Pair()
    streams = [pair.request(n) for n in range(3)]
    pair.exchange()
    assert pair.exchange(goaway(0)) == [GoAwayReceived(0, 0, streams)]


def test_write_progress_follows_the_bytes_that_the_socket_took():
    pair = Pair()
    pair.exchange()
    before = pair.session.taken
    one, two = pair.request(1, PUT, b"b" * 100), pair.request(2)
    assert [pair.session.write_progress(s) for s in (one, two)] == [WriteProgress.NOTHING] * 2
    pair.session.bytes_sent(1)
    assert pair.session.write_progress(one) is WriteProgress.PARTIAL
    pair.session.bytes_sent(one.head_end - before - 2)
    # One byte of its header block is missing.
    assert pair.session.write_progress(one) is WriteProgress.PARTIAL
    pair.session.bytes_sent(1)
    assert pair.session.write_progress(one) is WriteProgress.COMPLETE  # though its body was not sent
    assert pair.session.write_progress(two) is WriteProgress.NOTHING


@pytest.mark.parametrize(
    "row, proved",
    [
        (evidence.of_end(WriteProgress.NOTHING, 5, None), True),
        (evidence.of_end(WriteProgress.PARTIAL, 5, None), True),
        (evidence.of_end(WriteProgress.COMPLETE, 5, 3), True),
        (evidence.of_end(WriteProgress.COMPLETE, 5, 5), False),
        (evidence.of_end(WriteProgress.COMPLETE, 5, None), False),
        (evidence.of_reset(0x7), True),
        (evidence.of_reset(0x8), False),
        (evidence.of_reset(0x2), False),
        (evidence.of_reset(0xD), False),
        (evidence.of_reset(0xB), False),
        (evidence.of_reset(0x0), False),
        (evidence.TIMED_OUT, False),
        (evidence.of_status(421, False, False), True),
        (evidence.of_status(503, False, False), False),
        (evidence.of_status(429, False, True), False),
        (evidence.of_status(503, True, False), True),
        (evidence.of_status(504, False, True), True),
    ],
)
def test_each_row_of_evidence_proves_never_executed_only_where_the_protocol_does(row, proved):
    assert row in evidence.ROWS and row.outcome.never_executed is proved
    assert len({one.name for one in evidence.ROWS}) == len(evidence.ROWS)


def test_a_reset_is_reported_with_its_code_and_removes_the_stream():
    pair = Pair()
    stream = pair.request()
    pair.exchange()
    pair.server.reset_stream(1, 7)
    assert pair.exchange() == [ResetByPeer(stream, 7)] and not pair.session.streams


def test_late_frames_of_a_cancelled_stream_are_ignored():
    pair = Pair()
    stream, other = pair.request(), pair.request("o")
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"200")])
    pair.server.send_data(1, b"x" * 10_000)
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    pair.session.cancel(stream)
    assert pair.exchange() == [ResponseComplete(other, 200, {}, b"")]
    assert pair.resets == {1: 8} and pair.session.buffered == 0 and not pair.session.fault


MALFORMED = {
    "settings": (EMPTY_SETTINGS, 1200, "flood"),
    "ping": (frame(6, 0, 0, b"8 bytes."), 1200, "flood"),
    "reset": (frame(3, 0, 3, b"\0\0\0\x08"), 1200, "flood"),
    "empty data": (frame(0, 0, 1), 1200, "flood"),
    "window": (frame(8, 0, 0, b"\0\0\0\x01"), 1200, "flood"),
    "unknown": (frame(0xEE, 0, 0), 1200, "flood"),
    "priority": (frame(2, 0, 1, b"\0\0\0\0\x01"), 1200, "flood"),
    "continuation": (frame(1, 0, 1, b"\x00") + frame(9, 0, 1, b"") * 20, 1, "header block"),
    "long block": (frame(1, 0, 1, b"\x00" * 9000) + frame(9, 0, 1, b"\x00" * 9000), 1, "header block"),
    "large frame": (frame(0, 0, 1, b"x" * 16_385), 1, "frame of 16385 bytes"),
    "data on an idle stream": (frame(0, 0, 9, b"x" * 100), 1, ""),
    "response on an idle stream": (frame(1, 4, 9, b"\x88"), 1, ""),
    "push": (frame(5, 4, 1, b"\0\0\0\x02\x88"), 1, "push"),
    "short goaway": (frame(7, 0, 0, b"\0"), 1, "GOAWAY"),
    "goaway on a stream": (frame(7, 0, 1, b"\0" * 8), 1, "GOAWAY"),
    "settings of a wrong length": (frame(4, 0, 0, b"\0"), 1, ""),
    "lone continuation": (frame(9, 4, 1, b""), 1, ""),
    "hpack": (frame(1, 4, 1, b"\xff" * 6), 1, ""),
    "padding": (frame(0, 8, 1, b"\xffab"), 1, "padding"),
}


@pytest.mark.parametrize("kind", list(MALFORMED))
def test_malformed_frames_end_the_connection_and_events_before_them_are_kept(kind):
    raw, times, expected = MALFORMED[kind]
    pair = Pair()
    first, _ = pair.request("first"), pair.request("second")
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"200")])
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    events = pair.exchange(raw * times)
    assert [(s.stream.request, s.status) for s in events if isinstance(s, ResponseComplete)] == [
        ("second", 200)
    ]
    assert pair.session.fault is not None and expected in pair.session.fault.text
    assert first.id in pair.session.streams and len(pair.session.guard.buffer) < 40_000


@pytest.mark.parametrize("answer", [b"HTTP/1.1 400 Bad Request\r\n\r\n", frame(6, 0, 0, b"8 bytes.")])
def test_a_peer_that_does_not_begin_with_settings_is_a_connection_error(answer):
    session = Http2Session(1 << 20, 0)
    session.receive(answer, 0)
    assert session.fault is not None and not session.ready


def test_a_response_of_3_gb_is_aborted_by_its_content_length_or_at_the_bound():
    pair = Pair()
    announced, unannounced = pair.request("announced"), pair.request("unannounced")
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"200"), (b"content-length", b"3000000000")])
    events = pair.exchange()
    assert [type(s) for s in events] == [StreamAborted] and events[0].stream is announced
    pair.server.send_headers(3, [(b":status", b"200")])
    for _ in range(20):
        for _ in range(4):
            if pair.server.open_outbound_streams or 3 in pair.server.streams and 3 not in pair.resets:
                pair.server.send_data(3, b"x" * 8000)
        events += pair.exchange()
        if len(events) > 1:
            break
    assert events[1].stream is unannounced and pair.session.buffered == 0
    assert not pair.session.fault  # other streams of the connection are unaffected


def test_the_bytes_of_partial_responses_on_one_connection_are_bounded():
    pair = Pair(held=262_144)
    for n in range(30):
        pair.request(n)
    pair.exchange()
    events = []
    for n in range(30):
        pair.server.send_headers(2 * n + 1, [(b":status", b"200")])
        pair.server.send_data(2 * n + 1, b"x" * 16_000)
        events += pair.exchange()
        assert pair.session.buffered <= 262_144
    assert len([s for s in events if isinstance(s, StreamAborted)]) >= 13


@pytest.mark.parametrize("length, sent", [(b"5", b"abc"), (b"2", b"abc")])
def test_a_body_that_contradicts_its_content_length_completes_no_response(length, sent):
    pair = Pair()
    pair.request()
    pair.exchange()
    pair.server.send_headers(1, [(b":status", b"200"), (b"content-length", length)])
    pair.server.send_data(1, sent, end_stream=True)
    assert not [s for s in pair.exchange() if isinstance(s, ResponseComplete)]


def test_a_second_response_on_a_stream_is_ignored():
    pair = Pair()
    stream = pair.request()
    pair.exchange()
    assert pair.exchange(frame(1, 5, 1, b"\x88")) == [ResponseComplete(stream, 200, {}, b"")]
    assert [s for s in pair.exchange(frame(1, 5, 1, b"\x88")) if isinstance(s, ResponseComplete)] == []


def test_too_many_interim_responses_abort_their_stream():
    pair = Pair()
    stream = pair.request()
    pair.exchange()
    for _ in range(9):
        pair.server.send_headers(1, [(b":status", b"103")])
    assert [(type(s), s.stream) for s in pair.exchange()] == [(StreamAborted, stream)]


def test_stalled_responses_are_found_and_get_more_time_while_other_streams_move():
    pair = Pair()
    half, other = pair.request("half"), pair.request("other")
    pair.exchange()
    pair.now = S
    for number in (1, 3):
        pair.server.send_headers(number, [(b":status", b"200")])
        pair.server.send_data(number, b"x")
    pair.exchange()
    assert pair.session.stalled(300, S + 299) == []
    pair.now = S + 299
    pair.server.send_data(3, b"x")
    pair.exchange()
    assert pair.session.stalled(300, S + 400) == []  # the other stream received data
    assert pair.session.stalled(300, S + 1200) == [half, other]


def send_attempt(**changed):
    base = SendAttempt(
        number=0,
        cache=1,
        fill_source=2,
        rank=0,
        max_age=0,
        timeout=1_400_000_000,
        collapse=False,
        only_if_cached=False,
        bypass_parent=False,
        revalidate=False,
    )
    return base._replace(**changed)


def open_request(have="", body=b"", write=False):
    asked = Request("9b1f03aa5c7e2d41", 1, 3, 17, 0, 4, write, False, S)
    return OpenRequest(None, b"9b1f03aa5c7e2d41", "media", "7f3a", 3, have, body, asked)


@pytest.mark.parametrize("max_age", [S, S + 1, 17 * S // 10, 2 * S - 1, 2 * S, 28 * S, 28 * S + 1])
def test_an_age_that_a_server_counts_in_whole_seconds_never_exceeds_the_one_decided(max_age):
    """Guards against copies from before a purge, of which a server says that they are a second younger."""
    fields = dict(
        mapping.request_fields(b"a:1", open_request(), send_attempt(max_age=max_age), "o", False, S)
    )
    told = int(fields[b"cache-control"].split(b", ")[0].removeprefix(b"max-age="))
    oldest_admitted = (told + 1) * S - 1  # its age in whole seconds is `told`
    assert oldest_admitted < max_age <= oldest_admitted + S  # a second more would exceed it


def test_the_header_fields_of_an_attempt():
    fields = dict(
        mapping.request_fields(
            b"a:1",
            open_request("t1"),
            send_attempt(rank=2, max_age=9_900_000_000, collapse=True, number=1, revalidate=True),
            's-"1f',
            False,
            5 * S,
        )
    )
    assert fields == {
        b":method": b"GET",
        b":scheme": b"http",
        b":authority": b"a:1",
        b":path": b"/svc/media/7f3a/slice-3",
        b"x-call-id": b"9b1f03aa5c7e2d41",
        b"spruce-wait": b"1400",
        b"if-none-match": b'"t1"',
        b"cache-control": b"max-age=8, max-stale=8",
        b"spruce-fill": b'source="s-\\"1f", rank=2, try=1, join, renew',
    }
    with_token = open_request()
    with_token.token = "874c-e5"
    assert (
        dict(mapping.request_fields(b"a:1", with_token, send_attempt(), None, False, S))[b"idempotency-key"]
        == b'"874c-e5"'
    )
    fields = dict(
        mapping.request_fields(
            b"a:1", open_request(), send_attempt(fill_source=1, max_age=10), None, True, 900_000_000
        )
    )
    assert fields[b"spruce-wait"] == b"900"  # the client's remaining wait, if that is shorter
    assert fields[b"cache-control"] == b"max-age=0, max-stale=0, only-if-cached"  # rounded down, never up
    fields = dict(
        mapping.request_fields(b"a:1", open_request(body=b"abc", write=True), send_attempt(), "o", False, S)
    )
    assert (fields[b":method"], fields[b"content-length"]) == (b"PUT", b"3")
    assert b"cache-control" not in fields


@pytest.mark.parametrize(
    "status, fields, outcome, found",
    [
        (200, {}, AttemptOutcome.RETURNED, CacheStatus.UNKNOWN),
        (200, {b"cache-status": b"s; hit"}, AttemptOutcome.RETURNED, CacheStatus.HIT),
        (200, {b"cache-status": b"s; hit; ttl=-3"}, AttemptOutcome.RETURNED, CacheStatus.STALE_HIT),
        (200, {b"cache-status": b"s; fwd=miss; stored"}, AttemptOutcome.RETURNED, CacheStatus.FILLED),
        (
            200,
            {b"cache-status": b"p; fwd=miss, s; fwd=uri-miss"},
            AttemptOutcome.RETURNED,
            CacheStatus.FILLED_BY_ORIGIN,
        ),
        (
            200,
            {b"cache-status": b"p; hit, s; fwd=miss; collapsed"},
            AttemptOutcome.RETURNED,
            CacheStatus.COLLAPSED,
        ),
        (200, {b"cache-status": b"\xff not a list ;;"}, AttemptOutcome.RETURNED, CacheStatus.UNKNOWN),
        (200, {b"cache-status": b"s; hit," * 400}, AttemptOutcome.RETURNED, CacheStatus.UNKNOWN),
        (
            502,
            {b"cache-status": b"s; fwd=miss; detail=source-broken"},
            AttemptOutcome.ERROR,
            CacheStatus.FILL_SOURCE_BROKEN,
        ),
        (
            504,
            {b"cache-status": b"s; fwd=miss; detail=origin-failed"},
            AttemptOutcome.ERROR,
            CacheStatus.ORIGIN_FAILED,
        ),
        (404, {}, AttemptOutcome.ERROR, CacheStatus.UNKNOWN),
        (500, {}, AttemptOutcome.ERROR, CacheStatus.UNKNOWN),
        (503, {b"spruce-ran": b"?0"}, AttemptOutcome.FULL, CacheStatus.UNKNOWN),
        (421, {}, AttemptOutcome.FULL, CacheStatus.UNKNOWN),
    ],
)
def test_outcome_and_cache_status_of_a_response(status, fields, outcome, found):
    meaning = mapping.interpret(status, fields, b"x", False)
    assert (meaning.outcome, meaning.cache_status) == (outcome, found)


@pytest.mark.parametrize(
    "tag, have, outcome",
    [
        (b'"t1"', "t1", AttemptOutcome.RETURNED),
        (b'W/"t1"', "t1", AttemptOutcome.RETURNED),
        (b'"t1"', "t2", AttemptOutcome.ERROR),
        (b'"t1"', "", AttemptOutcome.ERROR),
        (b"", "", AttemptOutcome.ERROR),
        (b"", "t1", AttemptOutcome.ERROR),
    ],
)
def test_a_304_is_returned_only_with_the_entity_tag_of_the_clients_stored_response(tag, have, outcome):
    meaning = mapping.interpret(304, {b"etag": tag}, b"", False, have)
    assert (meaning.outcome, meaning.response is None) == (outcome, outcome is AttemptOutcome.ERROR)


def test_a_504_is_a_miss_only_for_an_only_if_cached_request():
    assert mapping.interpret(504, {}, b"", True).outcome is AttemptOutcome.MISS
    assert mapping.interpret(504, {}, b"", False).outcome is AttemptOutcome.ERROR


@pytest.mark.parametrize(
    "cache_status, outcome",
    [
        (b"s; fwd=miss", AttemptOutcome.ERROR),
        (b"s; fwd=miss; collapsed", AttemptOutcome.ERROR),
        (b"p; fwd=miss, s; fwd=miss", AttemptOutcome.ERROR),
        (b"s; fwd=miss; detail=origin-failed", AttemptOutcome.ERROR),
        (b"s; fwd=miss; detail=source-broken", AttemptOutcome.ERROR),
        (b"s; detail=no-fill-place", AttemptOutcome.MISS),
        (b"s; detail=source-refused", AttemptOutcome.MISS),
        (b"s", AttemptOutcome.MISS),
        (b"not a list ;;", AttemptOutcome.MISS),
    ],
)
def test_a_504_of_a_cache_that_forwarded_an_only_if_cached_request_is_no_miss(cache_status, outcome):
    """Guards against a request that is sent again although its cache says that it passed it on."""
    assert mapping.interpret(504, {b"cache-status": cache_status}, b"", True).outcome is outcome


def test_entity_tag_age_fill_wait_and_load_of_a_response():
    meaning = mapping.interpret(
        200,
        {
            b"etag": b'W/"t1"',
            b"age": b"7",
            b"server-timing": b"edge;dur=3, fill;dur=12.5",
            b"spruce-load": b'inflight=7, busy=0.25, other=3, queued="x", link_use=?1',
        },
        b"body",
        False,
    )
    # A second more than Age, which is truncated to seconds.
    assert meaning.response == (False, "t1", 0, b"body", 8 * S)
    assert meaning.fill_wait == 12_500_000 and meaning.load == {"inflight": 7.0, "busy": 0.25}
    not_modified = mapping.interpret(304, {b"etag": b'"t1"'}, b"", False, "t1")
    assert not_modified.response == (True, "t1", 0, b"", None)
