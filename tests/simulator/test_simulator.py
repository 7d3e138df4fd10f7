"""The simulator adapter: decoding input into calls, encoding results, and errors for malformed input."""

import io
import subprocess
import sys

import pytest

from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.simulator.codec import Line, MalformedLineError
from sprucegate.simulator.process import run
from sprucegate.simulator.settings import settings_from

INIT = (
    "init\ti=0\tentropy=5\tcategories.count=1\tcategories.0.aim=400000\tcategories.0.effect=pure"
    "\tcategories.0.worth=2.0\tspecifics.shieldKind=2\tspecifics.storeKind=3\tmyZone=1\tnew.thing=7\n"
    "targets\ti=0\thow=stale_copy\tseqNo=1\telements=2\n"
    "cache\tcache=11\tcampus=1\tmachine=0\treadiness=SERVING\n"
    "cache\tcache=31\tcampus=0\tmachine=3\treadiness=SERVING\n"
)
GET = "incoming\ti=0\ttxn=r-a\tttl=900000\tresource=00ff\tgrade=0\n"


def replies(*batches):
    sink = io.BytesIO()
    text = "".join(f"sync\tmoment={1000 + n}\n{batch}eob\n" for n, batch in enumerate(batches))
    run(io.BytesIO(text.encode()), sink)
    return [reply.splitlines() for reply in sink.getvalue().decode().split("ready\n")[:-1]]


def test_a_request_is_sent_and_an_empty_batch_is_answered():
    empty, first = replies("", INIT + GET)
    assert empty == []
    assert first[0].startswith("deliver_via\ti=0\ttxn=r-a\tcache=11\tcap=") and "\tsupplier=31" in first[0]
    assert sum(line.startswith("notify_me") for line in first) == 1


def test_restart_of_an_instance_within_one_batch_discards_its_requests():
    answers = replies(INIT, GET + "power_off\ti=0\n" + INIT)
    assert not any("r-a" in line for line in answers[1])


def test_unknown_events_and_unknown_request_ids_are_ignored():
    answers = replies(
        INIT, "sunrise\ti=9\nleft\ti=0\ttxn=r-x\n" "response\ti=0\ttxn=r-x\tcache=11\tshot=0\tresult=Ok\n"
    )
    assert answers[1] == []


@pytest.mark.parametrize(
    "text, error",
    [
        ("incoming\ti=0\ttxn=r-a\n", "has no field 'ttl'"),
        ("incoming\ti=0\ttxn=r-a\tttl=soon\n", "needs a time in microseconds in 'ttl'"),
        ("incoming\ti=4\ttxn=r-a\tttl=5\n", "instance 4, which has no 'init' yet"),
        ("response\ti=0\ttxn=r-a\tshot=0\tresult=Odd\n", "unknown value in 'result'"),
        ("targets\ti=0\thow=whole\telements=2\ncache\tcache=1\treadiness=SERVING\n", "more entries"),
        ("left\ti=0\ttxn\n", "without '='"),
    ],
)
def test_malformed_input_is_reported_with_its_line_number(text, error):
    with pytest.raises(MalformedLineError, match=error) as raised:
        replies(INIT + text)
    assert "line " in str(raised.value)


def test_the_process_exits_with_an_error_message_and_no_traceback():
    result = subprocess.run(
        [sys.executable, "-m", "sprucegate.wirehost"], input=b"sync\tmoment=x\n", capture_output=True
    )
    assert result.returncode == 2 and b"line 1" in result.stderr and b"Traceback" not in result.stderr


def test_an_exception_in_the_router_is_reported_in_the_reply():
    answers = replies(INIT + "incoming\ti=0\ttxn=r-a\tttl=900000\tresource=00ff\tsegment=-1\n")
    assert answers[0][-1].startswith("internal_error\ti=0\twhat=OverflowError")


def test_outcome_status_and_load_report_are_decoded():
    line = Line("response\ti=0\tnote=9\tresult=QueueFull\treport=outstanding:7,odd:1,x1:1.25", 1)
    assert line.cache_status() is CacheStatus.FILL_SLOTS_EXHAUSTED
    assert line.load() == {"inflight": 7.0, "link_use": 1.25}
    assert AttemptOutcome.FULL.never_executed and not AttemptOutcome.TIMED_OUT.never_executed


def test_settings_are_translated_and_unknown_ones_skipped():
    line = Line(INIT.splitlines()[0], 1)
    settings = settings_from(line.fields, line.error)
    assert settings["latency_objective"] == [400_000_000] and settings["effect"] == ["idempotent"]
    assert settings["parent_kind"] == 2 and "new.thing" not in settings
