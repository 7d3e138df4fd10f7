"""One connection without a socket: what is read, what is bounded, and what its ends prove."""

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
    """A session and an h2 server, their bytes carried by hand."""

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
        self.said = self.turn() + self.turn()

    def turn(self, raw=b""):
        """All that is written reaches the server, all that it says reaches the session; then `raw`."""
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

    def ask(self, out="g", fields=FIELDS, body=b"", cached_only=False):
        return self.session.send_request(out, fields, body, cached_only)


def test_settings_both_ways_and_an_answer_with_interim_padding_and_trailers():
    pair = Pair(limit=7)
    assert SettingsReceived(7) in pair.said and any(isinstance(s, SettingsAcked) for s in pair.said)
    stream = pair.ask()
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"103"), (b"link", b"x")])
    pair.server.send_headers(1, [(b":status", b"200"), (b"etag", b'"t"')])
    pair.server.send_data(1, b"abc", pad_length=200)
    pair.server.send_data(1, b"def")
    pair.server.send_headers(1, [(b"spruce-load", b"busy=0.5"), (b"other", b"x")], end_stream=True)
    assert pair.turn() == [
        ResponseComplete(stream, 200, {b"etag": b'"t"', b"spruce-load": b"busy=0.5"}, b"abcdef")
    ]
    assert pair.session.buffered == 0 and not pair.session.streams
    pair.server.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: 0})
    assert pair.turn() == [StreamLimitChanged(0)]


def test_a_body_goes_as_far_as_the_windows_let_it_and_goes_on_when_they_open():
    pair = Pair(window=1)
    stream = pair.ask(fields=PUT, body=b"b" * 300)
    pair.turn()
    assert len(pair.bodies[1]) == 1 and pair.session.write_progress(stream) is WriteProgress.COMPLETE
    for _ in range(700):  # each byte is acknowledged, which opens the window by one
        pair.turn()
    assert pair.bodies[1] == b"b" * 300 and not pair.session.uploads


def test_a_window_that_never_opens_holds_no_other_stream_up():
    pair = Pair(window=0)
    pair.ask("put", PUT, b"b" * 48_000)
    get = pair.ask("get")
    pair.turn()
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    assert pair.turn() == [ResponseComplete(get, 200, {}, b"")]
    assert pair.session.produced < 1000  # nothing of the body was made that could not go


def test_a_window_that_overflows_ends_the_connection():
    pair = Pair()
    pair.ask()
    pair.turn(frame(8, 0, 0, struct.pack(">I", 2**31 - 1)))
    assert pair.session.fault is not None


def test_an_answer_before_the_whole_body_is_an_answer():
    pair = Pair(window=10)
    stream = pair.ask(fields=PUT, body=b"b" * 100)
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"200")], end_stream=True)
    assert pair.turn() == [ResponseComplete(stream, 200, {}, b"")]
    pair.turn()
    assert 1 in pair.resets and not pair.session.uploads


def test_a_goaway_proves_what_is_above_its_last_stream_and_the_others_are_still_answered():
    pair = Pair()
    streams = [pair.ask(n) for n in range(6)]
    pair.turn()
    assert pair.turn(goaway(2**31 - 1)) == [GoAwayReceived(2**31 - 1, 0, [])]
    assert pair.turn(goaway(7)) == [GoAwayReceived(7, 0, streams[4:])]
    assert pair.turn(goaway(5)) == [GoAwayReceived(5, 0, [streams[3]])]
    assert pair.turn(goaway(9)) == [GoAwayReceived(5, 0, [])]  # a higher one takes nothing back
    pair.server.send_headers(5, [(b":status", b"200")], end_stream=True)
    assert pair.turn() == [ResponseComplete(streams[2], 200, {}, b"")]
    end = [
        evidence.of_end(pair.session.write_progress(s), s.id, pair.session.goaway_last) for s in streams[:2]
    ]
    assert end == [evidence.ENDED_AFTER_GOAWAY] * 2 and list(pair.session.streams) == [1, 3]


def test_last_stream_0_proves_that_none_ran():
    pair = Pair()
    streams = [pair.ask(n) for n in range(3)]
    pair.turn()
    assert pair.turn(goaway(0)) == [GoAwayReceived(0, 0, streams)]


def test_how_far_a_request_came_is_told_by_the_bytes_that_the_socket_took():
    pair = Pair()
    pair.turn()
    before = pair.session.taken
    one, two = pair.ask(1, PUT, b"b" * 100), pair.ask(2)
    assert [pair.session.write_progress(s) for s in (one, two)] == [WriteProgress.NOTHING] * 2
    pair.session.bytes_sent(1)
    assert pair.session.write_progress(one) is WriteProgress.PARTIAL
    pair.session.bytes_sent(one.head_end - before - 2)
    assert pair.session.write_progress(one) is WriteProgress.PARTIAL  # all but one byte of its header block
    pair.session.bytes_sent(1)
    assert pair.session.write_progress(one) is WriteProgress.COMPLETE  # though its body has not gone
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
def test_each_row_is_never_ran_only_where_it_is_proved(row, proved):
    assert row in evidence.ROWS and row.outcome.never_executed is proved
    assert len({one.name for one in evidence.ROWS}) == len(evidence.ROWS)


def test_a_reset_is_told_with_its_code_and_frees_the_stream():
    pair = Pair()
    stream = pair.ask()
    pair.turn()
    pair.server.reset_stream(1, 7)
    assert pair.turn() == [ResetByPeer(stream, 7)] and not pair.session.streams


def test_a_cancelled_streams_late_frames_harm_nobody():
    pair = Pair()
    stream, other = pair.ask(), pair.ask("o")
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"200")])
    pair.server.send_data(1, b"x" * 10_000)
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    pair.session.cancel(stream)
    assert pair.turn() == [ResponseComplete(other, 200, {}, b"")]
    assert pair.resets == {1: 8} and pair.session.buffered == 0 and not pair.session.fault


BAD = {
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
    "data on no stream": (frame(0, 0, 9, b"x" * 100), 1, ""),
    "answer on no stream": (frame(1, 4, 9, b"\x88"), 1, ""),
    "push": (frame(5, 4, 1, b"\0\0\0\x02\x88"), 1, "push"),
    "short goaway": (frame(7, 0, 0, b"\0"), 1, "GOAWAY"),
    "goaway on a stream": (frame(7, 0, 1, b"\0" * 8), 1, "GOAWAY"),
    "odd settings": (frame(4, 0, 0, b"\0"), 1, ""),
    "lone continuation": (frame(9, 4, 1, b""), 1, ""),
    "hpack": (frame(1, 4, 1, b"\xff" * 6), 1, ""),
    "padding": (frame(0, 8, 1, b"\xffab"), 1, "padding"),
}


@pytest.mark.parametrize("kind", list(BAD))
def test_bad_frames_cost_the_connection_alone_and_what_came_well_before_is_kept(kind):
    raw, times, named = BAD[kind]
    pair = Pair()
    first, _ = pair.ask("first"), pair.ask("second")
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"200")])
    pair.server.send_headers(3, [(b":status", b"200")], end_stream=True)
    said = pair.turn(raw * times)
    assert [(s.stream.request, s.status) for s in said if isinstance(s, ResponseComplete)] == [
        ("second", 200)
    ]
    assert pair.session.fault is not None and named in pair.session.fault.text
    assert first.id in pair.session.streams and len(pair.session.guard.buffer) < 40_000


@pytest.mark.parametrize("answer", [b"HTTP/1.1 400 Bad Request\r\n\r\n", frame(6, 0, 0, b"8 bytes.")])
def test_who_does_not_begin_with_settings_speaks_something_else(answer):
    session = Http2Session(1 << 20, 0)
    session.receive(answer, 0)
    assert session.fault is not None and not session.ready


def test_an_answer_of_3_gb_is_left_at_once_or_at_its_bound():
    pair = Pair()
    told, untold = pair.ask("told"), pair.ask("untold")
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"200"), (b"content-length", b"3000000000")])
    said = pair.turn()
    assert [type(s) for s in said] == [StreamAborted] and said[0].stream is told
    pair.server.send_headers(3, [(b":status", b"200")])
    for _ in range(20):
        for _ in range(4):
            if pair.server.open_outbound_streams or 3 in pair.server.streams and 3 not in pair.resets:
                pair.server.send_data(3, b"x" * 8000)
        said += pair.turn()
        if len(said) > 1:
            break
    assert said[1].stream is untold and pair.session.buffered == 0
    assert not pair.session.fault  # the others on it go on


def test_what_half_answers_hold_on_a_connection_is_bounded():
    pair = Pair(held=262_144)
    for n in range(30):
        pair.ask(n)
    pair.turn()
    said = []
    for n in range(30):
        pair.server.send_headers(2 * n + 1, [(b":status", b"200")])
        pair.server.send_data(2 * n + 1, b"x" * 16_000)
        said += pair.turn()
        assert pair.session.buffered <= 262_144
    assert len([s for s in said if isinstance(s, StreamAborted)]) >= 13


@pytest.mark.parametrize("length, sent", [(b"5", b"abc"), (b"2", b"abc")])
def test_more_or_less_than_the_content_length_is_no_answer(length, sent):
    pair = Pair()
    pair.ask()
    pair.turn()
    pair.server.send_headers(1, [(b":status", b"200"), (b"content-length", length)])
    pair.server.send_data(1, sent, end_stream=True)
    assert not [s for s in pair.turn() if isinstance(s, ResponseComplete)]


def test_a_second_answer_is_no_ones():
    pair = Pair()
    stream = pair.ask()
    pair.turn()
    assert pair.turn(frame(1, 5, 1, b"\x88")) == [ResponseComplete(stream, 200, {}, b"")]
    assert [s for s in pair.turn(frame(1, 5, 1, b"\x88")) if isinstance(s, ResponseComplete)] == []


def test_interim_answers_without_end_spoil_their_stream():
    pair = Pair()
    stream = pair.ask()
    pair.turn()
    for _ in range(9):
        pair.server.send_headers(1, [(b":status", b"103")])
    assert [(type(s), s.stream) for s in pair.turn()] == [(StreamAborted, stream)]


def test_silence_after_half_an_answer_is_seen_and_others_may_come_first():
    pair = Pair()
    half, other = pair.ask("half"), pair.ask("other")
    pair.turn()
    pair.now = S
    for number in (1, 3):
        pair.server.send_headers(number, [(b":status", b"200")])
        pair.server.send_data(number, b"x")
    pair.turn()
    assert pair.session.stalled(300, S + 299) == []
    pair.now = S + 299
    pair.server.send_data(3, b"x")
    pair.turn()
    assert pair.session.stalled(300, S + 400) == []  # the other one moves
    assert pair.session.stalled(300, S + 1200) == [half, other]


def forward(**changed):
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


def a_get(have="", body=b"", write=False):
    asked = Request("9b1f03aa5c7e2d41", 1, 3, 17, 0, 4, write, False, S)
    return OpenRequest(None, b"9b1f03aa5c7e2d41", "media", "7f3a", 3, have, body, asked)


def test_a_forward_as_a_request():
    fields = dict(
        mapping.request_fields(
            b"a:1",
            a_get("t1"),
            forward(rank=2, max_age=9_900_000_000, collapse=True, number=1, revalidate=True),
            's-"1f',
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
        b"cache-control": b"max-age=9, max-stale=9",
        b"spruce-fill": b'source="s-\\"1f", rank=2, try=1, join, renew',
    }
    tokened = a_get()
    tokened.token = "874c-e5"
    assert (
        dict(mapping.request_fields(b"a:1", tokened, forward(), None, S))[b"idempotency-key"] == b'"874c-e5"'
    )
    fields = dict(
        mapping.request_fields(b"a:1", a_get(), forward(fill_source=1, max_age=10), None, 900_000_000)
    )
    assert fields[b"spruce-wait"] == b"900"  # what is left when it goes, where that is less
    assert fields[b"cache-control"] == b"max-age=0, max-stale=0, only-if-cached"  # never wider than decided
    fields = dict(mapping.request_fields(b"a:1", a_get(body=b"abc", write=True), forward(), "o", S))
    assert (fields[b":method"], fields[b"content-length"]) == (b"PUT", b"3")


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
def test_an_answer_by_its_status_and_cache_status(status, fields, outcome, found):
    said = mapping.interpret(status, fields, b"x", False)
    assert (said.outcome, said.cache_status) == (outcome, found)


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
def test_a_304_returns_only_a_copy_that_the_client_has_and_it_names(tag, have, outcome):
    said = mapping.interpret(304, {b"etag": tag}, b"", False, have)
    assert (said.outcome, said.response is None) == (outcome, outcome is AttemptOutcome.ERROR)


def test_a_504_is_a_miss_only_where_only_a_cached_copy_was_asked_for():
    assert mapping.interpret(504, {}, b"", True).outcome is AttemptOutcome.MISS
    assert mapping.interpret(504, {}, b"", False).outcome is AttemptOutcome.ERROR


def test_tag_age_wait_and_load_of_an_answer():
    said = mapping.interpret(
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
    assert said.response == (False, "t1", 0, b"body", 8 * S)  # a second more than told: Age is cut to seconds
    assert said.fill_wait == 12_500_000 and said.load == {"inflight": 7.0, "busy": 0.25}
    same = mapping.interpret(304, {b"etag": b'"t1"'}, b"", False, "t1")
    assert same.response == (True, "t1", 0, b"", None)
