"""The soak's judge finds each violated rule in the records; schedules are reproducible and shrink to their cause."""

import pytest

from standins.soak import judge, schedule
from standins.soak.clients import RequestRecord
from standins.soak.judge import Window

BODY = b"1 1 90000."


def row(how="answered", status=200, **changed):
    client_request = RequestRecord(
        3, "a1", False, "1", 1, 1.0, sent=100.0, ended=100.2, how=how, status=status, body=BODY
    )
    for name, value in changed.items():
        setattr(client_request, name, value)
    return client_request


def came(at=100.1, server="s-1", mode="", deaf=False, **fields):
    return {
        "what": "came",
        "at": at,
        "id": "a1",
        "server": server,
        "mode": mode,
        "deaf": deaf,
        "fields": {"max": "800", **fields},
    }


def drain(health="draining", offset=2, at=90.0):
    event = {"topology": {"hosts": [{"host": "s-1", "health": health}]}}
    return [
        {"what": "event", "at": at - 0.05, "offset": offset, "event": event},
        {"what": "told", "front": 3, "offset": offset, "at": at},
    ]


def untold_purge(at):
    """A purge that the bus could not tell; a front is held to it 7 s after it all the same."""
    return [{"what": "event", "at": at, "offset": 2, "event": {"ban": {"tag": 1, "ts": 95_000}}}]


PURGE = [
    {"what": "event", "at": 95.0, "offset": 2, "event": {"ban": {"tag": 1, "ts": 95_000}}},
    {"what": "told", "front": 3, "offset": 2, "at": 95.0},
]


@pytest.mark.parametrize(
    "rule, client_request, records",
    [
        ("lost", row(how="closed"), []),
        ("lost", row(how="timeout", ended=102.0), []),
        ("late", row(ended=102.0), []),
        ("status", row(status=500), []),
        ("max", row(), [came(max="1300")]),
        ("after_client_left", row(how="left", left=99.8), [came()]),
        ("after_answer", row(ended=99.8), [came()]),
        ("attempts", row(), [came() for _ in range(7)]),
        ("to_draining", row(), [came(), *drain()]),
        ("to_draining", row(), [came(server="s-2", src="s-1"), *drain()]),
        ("ran_twice", row(order=True), [came(), came(at=100.15)]),
        ("body", row(body=b"other"), []),
        ("body", row(body=b"2 1 90000."), []),
        ("purged", row(), PURGE),
        ("purged", row(), untold_purge(at=92.4)),
    ],
)
def test_each_violated_rule_is_found(rule, client_request, records):
    assert [name for name, _ in judge.find_violations([client_request], records, [])] == [rule]


@pytest.mark.parametrize(
    "client_request, records",
    [
        (row(), [came()]),
        (row(), untold_purge(at=92.6)),
        (row(how="left"), []),
        (row(how="crossed"), []),
        (row(status=503), []),
        (row(), [came(), *drain(), *drain("up", 3, 91.0)]),
        (row(), [came(), *drain(), *drain("up", 3, 100.11)]),
        (row(how="unsent", sent=0.0), []),
        (row(), [came(), *drain(at=99.9)]),
        (row(order=True), [came(mode="overload"), came(at=100.15)]),
        (row(), [came(at=102.0, deaf=True)]),
        (row(body=b"1 1 96000."), PURGE),
        (row(group=2), PURGE),
    ],
)
def test_correct_behaviour_is_no_finding(client_request, records):
    assert judge.find_violations([client_request], records, []) == []


@pytest.mark.parametrize(
    "window, excused",
    [
        (Window(3, "kill", 99.0, 101.0), True),
        (Window(3, "stall", 99.0, 100.1), True),
        (Window(3, "stop", 100.5, 101.0), True),
        (Window(3, "kill", 90.0, 99.0), False),
        (Window(4, "kill", 99.0, 101.0), False),
        (Window(3, "term", 99.7, 101.0), False),
        (Window(3, "term", 99.0, 101.0), False),
    ],
)
def test_only_a_front_that_was_down_or_paused_is_excused(window, excused):
    assert (judge.find_violations([row(how="closed")], [], [window]) == []) is excused


def test_an_event_sent_to_an_earlier_process_does_not_bind_the_next_one():
    found = judge.find_violations([row()], [came(), *drain(at=90.0)], [Window(3, "kill", 95.0, 96.0)])
    assert found == []


def test_a_schedule_is_reproducible_by_its_seed_and_has_overlapping_faults():
    one, again, other = (schedule.generate_schedule(seed, 60, 24, 9) for seed in (1, 1, 2))
    assert one == again != other
    assert sum(b.at - a.at < 1 for a, b in zip(one, one[1:], strict=False)) > len(one) // 3


def test_a_failing_schedule_is_shrunk_to_the_faults_that_it_needs():
    faults = schedule.generate_schedule(3, 60, 24, 9)
    needed = {faults[3], faults[17]}
    assert set(schedule.shrink_schedule(faults, lambda fewer: needed <= set(fewer))) == needed
