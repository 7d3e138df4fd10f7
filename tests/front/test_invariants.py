"""Each invariant is violated by a seeded defect, and none by a front that works correctly."""

import threading
import time
from types import SimpleNamespace

import pytest
from crossing import key, two
from helpers import SETTINGS, get_text, served

from sprucegate.front.client_connections import ConnectionState
from sprucegate.front.invariants import (
    ATTEMPT_DEADLINE_TOLERANCE,
    LATE_RESPONSE_TOLERANCE,
    SEND_AFTER_DISCONNECT_TOLERANCE,
    Invariants,
)
from sprucegate.front.open_requests import OpenAttempt, OpenRequest
from sprucegate.routing.events import Request

S, NOW = 1_000_000_000, 100 * 1_000_000_000


class Scenario:
    """An open request with one attempt in a correct state, and the violations found in it."""

    def __init__(self, ds=0, state=ConnectionState.REQUEST_IN_PROGRESS):
        self.counted, self.logged = [], []
        self.invariants = Invariants(
            {**SETTINGS, "max_forwards": 3},
            self.counted.append,
            lambda event, **fields: self.logged.append(fields),
        )
        client = SimpleNamespace(state=state, open_request=None, peer_has_closed=lambda: False)
        asked = Request("9b1f03aa5c7e2d41", 1, 0, 0, ds, 1, False, False, S)
        self.get = client.open_request = OpenRequest(
            client, b"9b1f03aa5c7e2d41", "media", "1", 0, "", b"", asked
        )
        self.get.client_deadline = NOW + S
        self.out = self.get.attempts[0] = OpenAttempt(self.get, 0, 11, 21, NOW, NOW + S)

    def retry(self, may_have_run):
        self.out.ended, self.out.may_have_run = True, may_have_run
        self.out = self.get.attempts[1] = OpenAttempt(self.get, 1, 12, 21, NOW, NOW + S)

    def rules(self):
        return [text.removeprefix("invariant_violations ") for text in self.counted]


def rules_violated(scenario, change, now=NOW):
    change(scenario)
    scenario.invariants.check_attempt(scenario.out, now)
    return scenario.rules()


@pytest.mark.parametrize(
    "rule, change",
    [
        ("attempt_after_answer", lambda c: setattr(c.get, "answered", True)),
        (
            "attempt_after_client_left",
            lambda c: setattr(c.get, "client_left_at", NOW - SEND_AFTER_DISCONNECT_TOLERANCE - 1),
        ),
        ("attempt_without_request", lambda c: setattr(c.get.client, "state", ConnectionState.HALF_CLOSED)),
        ("attempt_to_draining", lambda c: c.invariants.record_endpoint_list(set(), {11}, False)),
        ("attempt_to_draining", lambda c: c.invariants.record_endpoint_list({11}, {11, 21}, False)),
        (
            "wait_over_patience",
            lambda c: setattr(c.out, "deadline", c.get.client_deadline + ATTEMPT_DEADLINE_TOLERANCE + 1),
        ),
        ("attempts_over_cap", lambda c: setattr(c.out, "number", 3)),
    ],
)
def test_a_seeded_defect_of_an_attempt_is_reported(rule, change):
    assert rules_violated(Scenario(), change) == [rule]


@pytest.mark.parametrize(
    "ds, may_have_run, found", [(2, True, ["repeated_while_it_may_have_run"]), (2, False, []), (0, True, [])]
)
def test_a_retry_of_what_may_have_run_is_reported_unless_idempotent(ds, may_have_run, found):
    assert rules_violated(Scenario(ds), lambda c: c.retry(may_have_run)) == found


@pytest.mark.parametrize(
    "change",
    [
        lambda c: None,
        lambda c: setattr(c.get, "client_left_at", NOW - SEND_AFTER_DISCONNECT_TOLERANCE),
        lambda c: (
            c.invariants.record_endpoint_list(set(), {11}, False),
            c.invariants.record_endpoint_list({11}, {11}, False),
        ),
        lambda c: (
            c.invariants.record_endpoint_list(set(), {11}, False),
            c.invariants.record_endpoint_list({11, 21}, {11, 21}, True),
        ),
    ],
)
def test_a_correct_attempt_is_not_reported(change):
    assert rules_violated(Scenario(), change) == []


def test_a_seeded_defect_of_a_response_is_reported():
    late, unnamed, none, closed, left = [Scenario() for _ in range(5)]
    late.invariants.check_response(
        late.get, 503, True, late.get.client_deadline + LATE_RESPONSE_TOLERANCE + 1
    )
    unnamed.invariants.check_response(unnamed.get, 304, False, NOW)
    none.invariants.check_forgotten(none.get)
    closed.invariants.check_close(closed.get.client, "made_room")
    left.invariants.check_no_leaks(0, 1, 0)
    left.invariants.check_no_leaks(0, 0, 1)
    assert [c.rules() for c in (late, unnamed, none, closed)] == [
        ["answered_late"],
        ["not_modified_unnamed"],
        ["never_answered"],
        ["closed_over_request"],
    ]
    assert left.rules() == ["left_over"] * 2
    assert late.logged[0]["id"] == "9b1f03aa5c7e2d41" and late.logged[0]["story"]


def test_correct_responses_and_closes_are_not_reported():
    fine = Scenario()
    fine.invariants.check_response(fine.get, 304, True, fine.get.client_deadline + LATE_RESPONSE_TOLERANCE)
    fine.get.answered = True
    fine.invariants.check_forgotten(fine.get)
    fine.invariants.check_close(fine.get.client, "peer")
    fine.invariants.check_no_leaks(1, 1, 1)
    fine.invariants.check_no_leaks(0, 0, 0)
    assert fine.rules() == []


def test_all_violations_are_counted_and_few_per_second_logged():
    many = Scenario()
    for _ in range(100):
        many.invariants.check_forgotten(many.get)
    assert len(many.counted) == 100 and len(many.logged) == 20
    many.invariants.start_second()
    many.invariants.check_forgotten(many.get)
    assert len(many.logged) == 21


def test_the_number_of_remembered_servers_is_bounded():
    invariants = Scenario().invariants
    for at in range(20_000):
        invariants.record_endpoint_list(set(), {at}, False)
    assert len(invariants.unavailable_servers) <= 10_000 and 19_999 in invariants.unavailable_servers


def test_a_running_front_violates_none(tmp_path):
    front, cache_server, _ = two(tmp_path, served)
    with front:
        threads = [threading.Thread(target=lambda at=at: front.ask(get_text(key(at)))) for at in range(30)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        leaving = front.connect()
        leaving.sendall(get_text(key(99)))
        leaving.close()
        time.sleep(0.2)
        counted = [front.until("second") for _ in range(2)]
    assert not any(name.startswith("invariant") for line in counted for name in line)
    assert sum(line.get("clients_closed peer", 0) for line in counted) == 31
