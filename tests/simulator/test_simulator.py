"""The codec and the host: decoding into calls, encoding results, and what malformed input gets."""

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


def test_a_kill_and_a_new_start_in_one_batch_leave_nothing_behind():
    got = replies(INIT, GET + "power_off\ti=0\n" + INIT)
    assert not any("r-a" in line for line in got[1])


def test_unknown_events_and_ids_no_longer_held_are_passed_over():
    got = replies(
        INIT, "sunrise\ti=9\nleft\ti=0\ttxn=r-x\n" "response\ti=0\ttxn=r-x\tcache=11\tshot=0\tresult=Ok\n"
    )
    assert got[1] == []


@pytest.mark.parametrize(
    "text, fault",
    [
        ("incoming\ti=0\ttxn=r-a\n", "lacks 'ttl'"),
        ("incoming\ti=0\ttxn=r-a\tttl=soon\n", "no time in 'ttl'"),
        ("incoming\ti=4\ttxn=r-a\tttl=5\n", "before its init"),
        ("response\ti=0\ttxn=r-a\tshot=0\tresult=Odd\n", "unknown 'result'"),
        ("targets\ti=0\thow=whole\telements=2\ncache\tcache=1\treadiness=SERVING\n", "more entries"),
        ("left\ti=0\ttxn\n", "without '='"),
    ],
)
def test_malformed_input_is_named_with_its_line(text, fault):
    with pytest.raises(MalformedLineError, match=fault) as raised:
        replies(INIT + text)
    assert "line " in str(raised.value)


def test_the_process_ends_with_a_plain_message():
    done = subprocess.run(
        [sys.executable, "-m", "sprucegate.wirehost"], input=b"sync\tmoment=x\n", capture_output=True
    )
    assert done.returncode == 2 and b"line 1" in done.stderr and b"Traceback" not in done.stderr


def test_a_fault_of_the_decisions_goes_out():
    got = replies(INIT + "incoming\ti=0\ttxn=r-a\tttl=900000\tresource=00ff\tsegment=-1\n")
    assert got[0][-1].startswith("internal_error\ti=0\twhat=OverflowError")


def test_an_outcome_is_decoded():
    line = Line("response\ti=0\tnote=9\tresult=QueueFull\treport=outstanding:7,odd:1,x1:1.25", 1)
    assert line.cache_status() is CacheStatus.FILL_SLOTS_EXHAUSTED
    assert line.load() == {"inflight": 7.0, "link_use": 1.25}
    assert AttemptOutcome.FULL.never_executed and not AttemptOutcome.TIMED_OUT.never_executed


def test_settings_are_a_plain_map():
    line = Line(INIT.splitlines()[0], 1)
    settings = settings_from(line.fields, line.fault)
    assert settings["latency_objective"] == [400_000_000] and settings["effect"] == ["idempotent"]
    assert settings["parent_kind"] == 2 and "new.thing" not in settings
