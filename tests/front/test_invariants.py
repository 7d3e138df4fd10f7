"""Each invariant is seen to fail by a seeded defect, and none of them by a front that does what it should."""

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


class Checked:
    """An open GET of one attempt, as it should be, and what is said of it."""

    def __init__(self, ds=0, state=ConnectionState.REQUEST_IN_PROGRESS):
        self.counted, self.logged = [], []
        self.made = Invariants(
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

    def again(self, may_have_run):
        self.out.ended, self.out.may_have_run = True, may_have_run
        self.out = self.get.attempts[1] = OpenAttempt(self.get, 1, 12, 21, NOW, NOW + S)

    def rules(self):
        return [text.removeprefix("invariant_violations ") for text in self.counted]


def broken(checked, change, now=NOW):
    change(checked)
    checked.made.check_attempt(checked.out, now)
    return checked.rules()


@pytest.mark.parametrize(
    "rule, change",
    [
        ("attempt_after_answer", lambda c: setattr(c.get, "answered", True)),
        (
            "attempt_after_client_left",
            lambda c: setattr(c.get, "client_left_at", NOW - SEND_AFTER_DISCONNECT_TOLERANCE - 1),
        ),
        ("attempt_without_request", lambda c: setattr(c.get.client, "state", ConnectionState.HALF_CLOSED)),
        ("attempt_to_draining", lambda c: c.made.record_endpoint_list(set(), {11}, False)),
        ("attempt_to_draining", lambda c: c.made.record_endpoint_list({11}, {11, 21}, False)),
        (
            "wait_over_patience",
            lambda c: setattr(c.out, "limit", c.get.client_deadline + ATTEMPT_DEADLINE_TOLERANCE + 1),
        ),
        ("attempts_over_cap", lambda c: setattr(c.out, "number", 3)),
    ],
)
def test_a_seeded_defect_of_an_attempt_is_found(rule, change):
    assert broken(Checked(), change) == [rule]


@pytest.mark.parametrize(
    "ds, may_have_run, found", [(2, True, ["repeated_while_it_may_have_run"]), (2, False, []), (0, True, [])]
)
def test_what_may_have_run_is_repeated_only_by_its_effect(ds, may_have_run, found):
    assert broken(Checked(ds), lambda c: c.again(may_have_run)) == found


@pytest.mark.parametrize(
    "change",
    [
        lambda c: None,
        lambda c: setattr(c.get, "client_left_at", NOW - SEND_AFTER_DISCONNECT_TOLERANCE),
        lambda c: (
            c.made.record_endpoint_list(set(), {11}, False),
            c.made.record_endpoint_list({11}, {11}, False),
        ),
        lambda c: (
            c.made.record_endpoint_list(set(), {11}, False),
            c.made.record_endpoint_list({11, 21}, {11, 21}, True),
        ),
    ],
)
def test_an_attempt_as_it_should_be_is_none(change):
    assert broken(Checked(), change) == []


def test_a_seeded_defect_of_an_answer_is_found():
    late, unnamed, none, closed, left = [Checked() for _ in range(5)]
    late.made.check_response(late.get, 503, True, late.get.client_deadline + LATE_RESPONSE_TOLERANCE + 1)
    unnamed.made.check_response(unnamed.get, 304, False, NOW)
    none.made.check_forgotten(none.get)
    closed.made.check_close(closed.get.client, "made_room")
    left.made.check_no_leaks(0, 1, 0)
    left.made.check_no_leaks(0, 0, 1)
    assert [c.rules() for c in (late, unnamed, none, closed)] == [
        ["answered_late"],
        ["not_modified_unnamed"],
        ["never_answered"],
        ["closed_over_request"],
    ]
    assert left.rules() == ["left_over"] * 2
    assert late.logged[0]["id"] == "9b1f03aa5c7e2d41" and late.logged[0]["story"]


def test_answers_and_ends_as_they_should_be_are_none():
    fine = Checked()
    fine.made.check_response(fine.get, 304, True, fine.get.client_deadline + LATE_RESPONSE_TOLERANCE)
    fine.get.answered = True
    fine.made.check_forgotten(fine.get)
    fine.made.check_close(fine.get.client, "peer")
    fine.made.check_no_leaks(1, 1, 1)
    fine.made.check_no_leaks(0, 0, 0)
    assert fine.rules() == []


def test_breaches_are_all_counted_and_few_a_second_logged():
    many = Checked()
    for _ in range(100):
        many.made.check_forgotten(many.get)
    assert len(many.counted) == 100 and len(many.logged) == 20
    many.made.start_second()
    many.made.check_forgotten(many.get)
    assert len(many.logged) == 21


def test_servers_that_have_gone_are_remembered_within_a_bound():
    made = Checked().made
    for at in range(20_000):
        made.record_endpoint_list(set(), {at}, False)
    assert len(made.unavailable_servers) <= 10_000 and 19_999 in made.unavailable_servers


def test_a_front_in_service_breaks_none(tmp_path):
    front, box, _ = two(tmp_path, served)
    with front:
        threads = [threading.Thread(target=lambda at=at: front.ask(get_text(key(at)))) for at in range(30)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        gone = front.connect()
        gone.sendall(get_text(key(99)))
        gone.close()
        time.sleep(0.2)
        counted = [front.until("second") for _ in range(2)]
    assert not any(name.startswith("invariant") for line in counted for name in line)
    assert sum(line.get("clients_closed peer", 0) for line in counted) == 31
