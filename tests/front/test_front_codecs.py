"""Codecs, admission and configuration of the front, without sockets."""

import copy
import json

import pytest
from helpers import REAL, get_text, served

from sprucegate.front import configuration
from sprucegate.front.admission import admit
from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.protocol import bus
from sprucegate.front.protocol.http import (
    BODY_BYTES_MAX,
    FRAMING_BYTES_MAX,
    HEAD_BYTES_MAX,
    HEADER_FIELDS_MAX,
    RequestReader,
)
from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, EndpointState
from sprucegate.upstream.lines import codec

CHUNKED = get_text(method="PUT").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def short_fields(count):
    return b"".join(b"%x:\r\n" % at for at in range(count))


@pytest.mark.parametrize("cut", range(1, len(get_text(body=b"abc")), 7))
def test_a_request_is_parsed_for_any_split_into_chunks(cut):
    text, reader = get_text(method="PUT", body=b"abc"), RequestReader()
    whole = reader.feed(text[:cut]) + reader.feed(text[cut:])
    assert [(r.method, r.body, r.headers[b"x-set"]) for r in whole] == [(b"PUT", b"abc", b"17")]


@pytest.mark.parametrize(
    "text, status",
    [
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Id: b\r\n\r\n", 400),
        (b"PUT / HTTP/1.1\r\nContent-Length: 48001\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * HEAD_BYTES_MAX, 431),
        pytest.param(b"GET / HTTP/1.1\r\n" + short_fields(HEADER_FIELDS_MAX + 2), 431, id="fields"),
    ],
)
def test_an_invalid_request_is_rejected(text, status):
    reader = RequestReader()
    assert reader.feed(text) == [] and reader.rejection.status == status


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(b"1\r\nx\r\n0\r\n" + short_fields(9000), id="trailers"),
        pytest.param(b"1;" + b"a" * 60_000, id="extension"),
    ],
)
def test_trailers_and_chunk_extensions_without_end_are_rejected(text):
    """Guards against memory that grows without end by one connection (issue 59)."""
    reader, fed = RequestReader(), 0
    for fed in range(0, len(CHUNKED + text), 4096):
        assert reader.feed((CHUNKED + text)[fed : fed + 4096]) == []
        if reader.rejection:
            break
    assert reader.rejection.status == 400 and reader.headers == {}
    assert fed <= HEAD_BYTES_MAX + FRAMING_BYTES_MAX + 4096


def test_a_body_of_one_byte_chunks_is_read_and_its_trailers_are_discarded():
    body = b"1\r\nx\r\n" * BODY_BYTES_MAX + b"0\r\nX-Set: 18\r\nX-New: 1\r\n\r\n"
    reader, found = RequestReader(), []
    for at in range(0, len(CHUNKED + body), 16_384):
        found += reader.feed((CHUNKED + body)[at : at + 16_384])
    (request,) = found
    assert request.body == b"x" * BODY_BYTES_MAX and request.headers[b"x-set"] == b"17"
    assert b"x-new" not in request.headers


def test_only_the_first_of_pipelined_requests_is_read():
    reader = RequestReader()
    (request,) = reader.feed(get_text() * 500)
    assert request.headers[b"x-set"] == b"17" and reader.pipelined and not reader.rejection
    assert reader.feed(get_text()) == []


@pytest.mark.parametrize(
    "old, new, status, named",
    [
        (b"9b1f03aa5c7e2d41", b"9b1f", 400, "X-Call-Id"),
        (b"X-Patience-Ms: 1500", b"X-Patience-Ms: nan", 400, "X-Patience-Ms"),
        (b"X-Patience-Ms: 1500", b"X-Other: 1", 400, "X-Patience-Ms"),
        (b"X-Set: 17", b"X-Set: 256", 400, "X-Set"),
        (b"X-Heap-Kb: 4.5", b"X-Heap-Kb: -1", 400, "X-Heap-Kb"),
        (b"/svc/media/", b"/svc/other/", 404, "delivery service"),
        (b"/svc/media/", b"/other/media/", 404, "path"),
        (b"GET", b"DELETE", 405, "GET"),
    ],
)
def test_a_rejected_request_is_told_what_is_wrong(old, new, status, named):
    (request,) = RequestReader().feed(get_text().replace(old, new))
    rejected = admit(None, request, {"media": 0}, {}, {}, 0)
    assert rejected.status == status and named in rejected.text


def test_time_waited_before_admission_is_subtracted_from_the_patience():
    (request,) = RequestReader().feed(get_text(extra='If-None-Match: "4be0"\r\n'))
    get = admit(None, request, {"media": 0}, {}, {}, 30_000_000)
    assert (
        get.routing_request.ttl,
        get.routing_request.object,
        get.routing_request.part,
        get.routing_request.group,
        get.if_none_match,
    ) == (
        1_470_000_000,
        0x7F3A9C21E0B4D655,
        3,
        17,
        "4be0",
    )


MISS = b"bb not_here remark=up_empty,ttfb=1.5,report=inflight:7;util:0.5;new:x 0\r\n\r\n"
ANSWERS = served(b"aa", {}) + MISS


@pytest.mark.parametrize("cut", range(1, len(ANSWERS)))
def test_answers_are_parsed_for_any_split_into_chunks(cut):
    reader = codec.AnswerReader()
    first, second = reader.feed(ANSWERS[:cut]) + reader.feed(ANSWERS[cut:])
    assert (first.id, first.body, first.fields["etag"]) == (b"aa", b"xxxxx", "t1")
    assert codec.interpret(second, "") == (
        AttemptOutcome.MISS,
        CacheStatus.FILL_SOURCE_MISS,
        1_500_000,
        {"inflight": 7.0, "busy": 0.5},
    )


@pytest.mark.parametrize(
    "text",
    [
        b"no answer\r\n",
        b"cc served - 240001\r\n",
        b"cc served - -1\r\n",
        b"cc served x 0\r\n",
        b"cc served - 1\r\nabc",
        b"cc served \xff=1 0\r\n",
        b"c" * 5000,
    ],
)
def test_a_malformed_answer_is_an_error_and_those_before_it_are_returned(text):
    reader = codec.AnswerReader()
    assert [a.id for a in reader.feed(served(b"aa", {}) + text)] == [b"aa"] and reader.fault


@pytest.mark.parametrize(
    "word, fields",
    [
        (b"odd", {}),
        (b"served", {"ttfb": "x"}),
        (b"served", {"report": "util:x"}),
        (b"served", {"ttfb": "inf"}),
        (b"served", {"report": "util:nan"}),
        (b"not_here", {"report": "inflight:1e999"}),
        (b"still_good", {"etag": "t1"}),
        (b"still_good", {}),
    ],
)
def test_an_answer_with_invalid_fields_is_malformed(word, fields):
    with pytest.raises(codec.MalformedAnswerError):
        codec.interpret(codec.Answer(b"aa", word, fields, b""), "")


def test_a_not_modified_answer_must_have_the_etag_that_was_sent():
    answer = codec.Answer(b"aa", b"still_good", {"etag": "t1"}, b"")
    assert codec.interpret(answer, "t1")[0] is AttemptOutcome.RETURNED
    with pytest.raises(codec.MalformedAnswerError):
        codec.interpret(answer, "t2")


@pytest.mark.parametrize("oldest, expected", [(0, None), (999_999, "1"), (1_999_999, "1"), (2_000_000, "2")])
def test_a_maximum_age_is_rounded_down_but_never_to_zero_which_means_no_limit(oldest, expected):
    forward = SendAttempt(0, 1, 1, 2, oldest, 1_500_999_999, False, True, False, True)
    line = codec.encode_request(b"aa", "media", "7f", 3, forward, None, "", b"")
    fields = dict(pair.split("=") for pair in line.split()[2].decode().split(","))
    assert fields.get("maxage") == expected and fields["max"] == "1500" and fields["flags"] == "h+r"


EVENTS = b'id: 4\r\ndata: {"offset":4,\r\ndata: "ban":{"tag":17,"ts":5}}\r\n\r\n: x\n\nid: 5\ndata: 6\n\n'


@pytest.mark.parametrize("cut", range(1, len(EVENTS)))
def test_events_are_parsed_for_any_split_into_chunks(cut):
    reader = bus.EventReader()
    got = reader.feed(EVENTS[:cut]) + reader.feed(EVENTS[cut:])
    assert got == [("4", b'{"offset":4,\n"ban":{"tag":17,"ts":5}}'), ("5", b"6")]
    assert bus.read(got[0][1], {}, {}) == (4, bus.InvalidationEvent(-1, 17, 5_000_000))


def test_an_endpoint_list_is_decoded_with_names_and_addresses():
    entry = {
        "host": "s-0c",
        "dial": "10.0.0.1:9",
        "site": "e",
        "class": "std",
        "block": 2,
        "health": "draining",
        "share": 4,
        "born_ms": 7,
    }
    data = json.dumps({"offset": 1, "topology": {"whole": True, "hosts": [entry]}}).encode()
    _, hosts = bus.read(data, {"e": 3}, {"std": 1})
    assert hosts == (
        True,
        [(12, 3, 1, 2, EndpointState.DRAINING, 4.0, 7_000_000)],
        {12: ("s-0c", "10.0.0.1:9")},
    )


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b'{"offset":1,"ban":{"url":"xyz","ts":1}}',
        b'{"offset":1,"topology":{"hosts":[{"host":"s-1","health":"odd"}]}}',
    ],
)
def test_an_event_that_cant_be_decoded_is_malformed(data):
    with pytest.raises(bus.MalformedEventError):
        bus.read(data, {}, {})


@pytest.mark.parametrize(
    "path, value, named",
    [
        (["listen"], "nowhere", "listen"),
        (["seed"], "xyz", "seed"),
        (["bus"], None, "bus"),
        (["limits", "sockets"], 3, "limits.sockets"),
        (["flow_bytes_per_s"], "fast", "flow_bytes_per_s"),
        (["known", "offset"], None, "known.offset"),
        (["known", "batch"], [{"offset": "x"}], "known.batch[0]"),
        (["settings", "categories"], [{}], "settings.categories[0].name"),
        (["settings", "allowed", "keepalive"], "long", "allowed.keepalive"),
        (["settings", "shapes"], {}, "settings.shapes"),
        (["limits"], 5, "limits"),
    ],
)
def test_an_invalid_configuration_names_the_key(path, value, named):
    known = {"offset": 1, "batch": []}
    data = copy.deepcopy({**REAL, "listen": "127.0.0.1:1", "bus": "127.0.0.1:2", "known": known})
    at = data
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    with pytest.raises(configuration.FrontConfigurationError, match=named.replace("[", r"\[")):
        configuration.parse(data)


def test_the_pool_reuses_buffers_and_keeps_its_capacity():
    pool = BufferPool(2)
    first, second = pool.take(), pool.take()
    assert pool.take() is None
    pool.give_back(first)
    assert pool.take() is first and second is not first and pool.in_use == 2
