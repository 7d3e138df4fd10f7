"""Quotas of slow fills: fair queues, leases, lease holders, invariant checkers, and real fronts with greedy tenants."""

import itertools
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from sprucegate.cli import operator_file
from sprucegate.config.source_locations import OperatorFileError
from sprucegate.fleet.links import codec
from sprucegate.fleet.links.codec import FrameError
from sprucegate.fleet.quotas import slots
from sprucegate.fleet.quotas.actions import AbandonWait, LeaseHolderChanged, Send, StartFill
from sprucegate.fleet.quotas.allocation import SlotAllocator
from sprucegate.fleet.quotas.borrower import Borrower
from sprucegate.fleet.quotas.codec import decode, encode
from sprucegate.fleet.quotas.coordinator import QuotaCoordinator
from sprucegate.fleet.quotas.fair_queue import AvailableSlots, FairQueue, SourceQueue, SourceState, tenant_of
from sprucegate.fleet.quotas.lease_holder import LeaseHolder
from sprucegate.fleet.quotas.messages import (
    LeaseGrant,
    LeaseHolderId,
    QuotaRequest,
    SourceDemand,
    SourceGrant,
    TenantDemand,
    TenantSlots,
)
from sprucegate.fleet.quotas.settings import LEASE_DURATION, QuotaSettings, Tenant, promise_duration
from sprucegate.fleet.quotas.slots import AdaptiveLimit
from sprucegate.routing.actions import AwaitSlot
from standins.fleet import explore_shares, filling, sharing
from standins.fleet.rig import Rig
from tests.helpers import CACHES, NOW, ORIGIN, PARENTS, add_beliefs, make_request, make_router

MS, S = 1_000_000, 1_000_000_000
SETTINGS = QuotaSettings((Tenant(1, 0), Tenant(1, 0), Tenant(2, 0)), ("a", "b", "c"), {21: 6, 31: 2}, S, 20)


# Slots in routing.


def test_a_fill_waits_for_a_slot_before_anything_is_counted_and_a_hit_or_a_write_does_not():
    made = make_router()
    ask = make_request()
    made.slot_limited_sources = {PARENTS[0], PARENTS[1], ORIGIN}
    get = made.start_request(ask, NOW)
    out = sum(n.in_flight for n in made.registry.servers.values())
    [action] = get.route(NOW)
    assert (
        isinstance(action, AwaitSlot) and action.fill_source in made.slot_limited_sources and not get.attempts
    )
    assert (
        sum(n.in_flight for n in made.registry.servers.values()) == out
        and not made.source_selector.fills
        and not get.is_settled()
    )
    get.slot_source = action.fill_source
    [sent] = get.route(NOW)
    assert sent.fill_source == action.fill_source
    for cache in CACHES:
        add_beliefs(made, ask, cache)
    # A sibling or the cache itself has the object.
    assert not isinstance(made.start_request(ask, NOW).route(NOW)[0], AwaitSlot)
    assert not isinstance(made.start_request(make_request(ds=2), NOW).route(NOW)[0], AwaitSlot)
    made.slot_limited_sources = ()
    assert not isinstance(made.start_request(make_request(obj=5), NOW).route(NOW)[0], AwaitSlot)


# In one front.


def queue(lent=None, count=2, settings=SETTINGS):
    return FairQueue(settings, lambda source, now: AvailableSlots(lent or {}, count))


def started(actions):
    return [a.token for a in actions if isinstance(a, StartFill)]


def test_backlogged_tenants_get_slot_time_by_weight_and_not_by_count():
    one, now, order, ends = queue(), 0, itertools.count(), []
    used = dict.fromkeys((0, 1, 2), 0)
    took = {0: 200 * MS, 1: 20 * MS, 2: 60 * MS}  # fills of one tenant take ten times as long as another's

    def start(actions):
        for token in started(actions):
            ends.append((now + took[token[0]], token))
            used[token[0]] += took[token[0]]

    for tenant in (0, 1, 2) * 10:
        start(one.request_arrived((tenant, next(order)), 21, tenant, 1 << 60, now))
    while now < 40 * S:
        ends.sort()
        now, token = ends.pop(0)
        start(one.fill_ended(token, took[token[0]], True, now))
        start(one.request_arrived((token[0], next(order)), 21, token[0], 1 << 60, now))
    assert used[0] == pytest.approx(used[1], rel=0.05) and used[2] == pytest.approx(2 * used[0], rel=0.05)


def test_an_idle_tenant_gains_no_credit():
    one, now = queue(count=1), 0
    assert started(one.request_arrived("a0", 21, 0, 1 << 60, now))
    for n in range(1, 11):
        one.request_arrived(f"a{n}", 21, 0, 1 << 60, now)
    for n in range(5):
        one.fill_ended(f"a{n}", 100 * MS, True, n * 100 * MS)
    for n in range(6):
        one.request_arrived(f"b{n}", 21, 1, 1 << 60, 500 * MS)
    order, running = [], "a5"
    for n in range(8):
        [running] = started(one.fill_ended(running, 100 * MS, True, S + n * 100 * MS))
        order.append(running[0])
    assert order.count("b") == 4  # in turn from here on, not all six of the tenant that was idle


def test_a_request_that_cannot_be_filled_before_its_deadline_is_abandoned_at_once_or_in_time():
    one = queue(count=1)
    one.request_arrived("x", 21, 1, 1 << 60, 0)
    # Two fills of 100 ms each take longer.
    assert one.request_arrived("late", 21, 1, 150 * MS, 0) == [AbandonWait("late", 21)]
    assert one.request_arrived("waits", 21, 1, 250 * MS, 0) == []
    assert one.request_arrived("after", 21, 1, 280 * MS, 0) == [AbandonWait("after", 21)]
    assert one.next_deadline() == 150 * MS and one.on_timer(149 * MS) == []
    assert one.on_timer(150 * MS) == [AbandonWait("waits", 21)] and not one.waiting
    assert queue(count=0).request_arrived("none", 21, 1, 50 * MS, 0) == [AbandonWait("none", 21)]


def test_queues_are_bounded_by_tenant_so_that_a_greedy_one_fills_only_its_own():
    one = queue(count=1)
    answers = [one.request_arrived(n, 21, 1, 1 << 60, 0) for n in range(40)]
    assert sum(bool(a and isinstance(a[0], AbandonWait)) for a in answers) == 19
    assert one.request_arrived("other", 21, 2, 1 << 60, 0) == []


def test_a_cancelled_request_takes_no_slot_and_a_fill_that_may_still_run_keeps_its_slot():
    one = queue(count=1)
    one.request_arrived("x", 21, 1, 1 << 60, 0)
    one.request_arrived("y", 21, 1, 1 << 60, 0)
    one.request_arrived("z", 21, 2, 1 << 60, 0)
    one.request_cancelled("y")
    one.fill_detached("x", 300 * MS)  # its client left; the fill may run for `fill_time_max`
    assert one.on_timer(999 * MS) == [] and one.next_deadline() == S
    assert one.on_timer(S) == [StartFill("z", 21)]
    assert one.sources[21].finish_tags[1] > S // 2  # the tenant is charged for it


def test_slots_leased_to_a_tenant_go_before_spare_slots():
    lent = {2: 1}
    one = queue(lent, 2)
    assert started(one.request_arrived("a", 21, 1, 1 << 60, 0)) and started(
        one.request_arrived("b", 21, 1, 1 << 60, 0)
    )
    one.request_arrived("c", 21, 1, 1 << 60, 0)
    one.request_arrived("g", 21, 2, 1 << 60, 0)
    assert started(one.fill_ended("a", 100 * MS, True, 0)) == ["g"]
    assert started(one.fill_ended("b", 100 * MS, True, 0)) == ["c"]


@pytest.mark.parametrize(
    "header, tenant",
    [
        (None, (0, False)),
        (b"", (0, False)),
        (b"x" * 10_000, (0, False)),
        (b"\xff\xfe", (0, False)),
        (b"other", (0, False)),
        (b" gold ", (1, True)),
    ],
)
def test_a_header_names_a_listed_tenant_or_the_common_one(header, tenant):
    assert tenant_of(header, {b"gold": 1}) == tenant


# Among fronts.


def test_floors_of_all_fronts_add_up_to_the_slots():
    for count, size, source in itertools.product((0, 1, 2, 5, 8, 9), (1, 3, 8), (21, 22, 31)):
        names = tuple(f"n{at}" for at in range(size))
        settings = QuotaSettings((Tenant(1, 0),), names, {source: count}, S)
        assert sum(settings.floor(name, source) for name in names) == count
        assert settings.floor("stranger", source) == 0 == settings.floor("n0", 99)


def borrower(now=10 * S):
    """A borrower with a membership view whose floors no former incarnation can have waived any more."""
    one = Borrower("a", 1, SETTINGS, now - 2 * promise_duration(SETTINGS.floor_waiver))
    one.may_borrow = one.may_use_floors = True
    return one


def test_a_lease_counts_from_the_request_and_its_expiry_is_checked_at_each_decision():
    one = borrower()
    assert one.available_slots(21, 10 * S) == ({}, 2)  # its floor
    one.follow(LeaseHolderId("b", 7), 10 * S)
    [sent] = one.on_timer(lambda s: SourceState([TenantDemand(1, 0, 3)], 0), lambda s: (0, 0), 10 * S)
    message = sent.message
    assert isinstance(sent, Send) and (sent.to, message.lease_holder, message.echo) == ("b", 7, 0)
    # Its floor may be lent by the lease holder from here on.
    assert one.available_slots(21, 10 * S) == ({}, 0)
    assert one.on_grant(
        "b",
        LeaseGrant(message.epoch, message.sequence, 5, 9, [SourceGrant(21, 1, [TenantSlots(1, 2)])]),
        10 * S + 100 * MS,
    )
    assert one.available_slots(21, 10 * S + LEASE_DURATION - 1) == ({1: 2}, 3)
    # No timer has to run for that, as after a suspension.
    assert one.available_slots(21, 10 * S + LEASE_DURATION) == ({}, 0)
    # The same grant again.
    assert not one.on_grant("b", LeaseGrant(message.epoch, message.sequence, 5, 9, []), 10 * S)
    # A grant of another front than its lease holder.
    assert not one.on_grant("c", LeaseGrant(message.epoch, message.sequence, 5, 10, []), 10 * S)
    back = 10 * S + promise_duration(SETTINGS.floor_waiver)
    assert one.available_slots(21, back - 1) == ({}, 0) and one.available_slots(21, back) == ({}, 2)
    one.may_borrow = one.may_use_floors = False
    assert one.available_slots(21, back) == ({}, 0)


def request(**more):
    given = dict(
        incarnation=1, lease_holder=5, epoch=1, sequence=1, echo=0, grant=0, floors_lent=0, lease_counted=0
    )
    rows = [
        SourceDemand(*row, [TenantDemand(*one) for one in tenants]) for *row, tenants in more.pop("rows", [])
    ]
    return QuotaRequest(**given | more, sources=rows)


def test_a_lease_holder_lends_only_floors_that_are_certainly_waived():
    lease_holder, now = LeaseHolder(5, SETTINGS, 0), 100 * S
    assert lease_holder.on_request("a", request(), now)[0].message.sources == []  # no echo of its clock yet
    grant = lease_holder.on_request(
        "a", request(sequence=2, echo=now, rows=[[21, 0, 0, 0, 0, [[1, 0, 9]]]]), now
    )[0].message
    assert grant.sources == [(21, 0, [(1, 2)]), (31, 1, [])] and lease_holder.capacity(21, now) == 2
    assert lease_holder.on_request("a", request(sequence=2, echo=now), now) == []  # twice
    # Meant for another incarnation of this name.
    assert lease_holder.on_request("b", request(lease_holder=6, echo=now), now) == []
    lease_holder.on_request("b", request(echo=now, rows=[[21, 3, 0, 0, 0, [[2, 3, 1]]]]), now)
    assert lease_holder.capacity(21, now) == 4
    # b still uses three of the four slots: one is free, whatever the weights give to a.
    sends = lease_holder.on_request(
        "a", request(sequence=3, echo=now, grant=grant.grant, rows=[[21, 0, 0, 0, 0, [[1, 0, 9]]]]), now
    )
    assert sends[0].message.sources[0] == (21, 0, [(1, 1)])
    # The fronts send no more requests, so their floors are not lent: leases have to end before a front uses its floor.
    assert lease_holder.capacity(21, now + S) == 0


@pytest.mark.parametrize(
    "floors_lent, lease_counted, lent, after",
    [(0, 0, 0, 2), (S, 0, 0, 0), (S, S, 3, 2), (S, 0, 3, 2), (S, 0, 1, 1)],
)
def test_what_a_former_lease_holder_may_still_lend_is_subtracted(floors_lent, lease_counted, lent, after):
    lease_holder, now = LeaseHolder(5, SETTINGS, 0), 100 * S
    lease_holder.on_request(
        "a",
        request(
            echo=now, floors_lent=floors_lent, lease_counted=lease_counted, rows=[[21, 0, lent, 0, 0, []]]
        ),
        now,
    )
    assert lease_holder.capacity(21, now) == after
    later_on = now + 2 * S
    lease_holder.on_request("a", request(sequence=2, echo=later_on), later_on)
    assert lease_holder.capacity(21, later_on) == 2


def test_records_of_silent_fronts_and_former_incarnations_are_bounded():
    lease_holder = LeaseHolder(5, SETTINGS, 0)
    for at in range(1500):
        lease_holder.on_request(f"x{at}", request(), S)
    assert len(lease_holder.fronts) == 1000 and not lease_holder.on_request("y", request(), 2 * S)
    assert lease_holder.on_request("y", request(), 200 * S) and len(lease_holder.fronts) == 1
    for life in range(2, 1500):
        lease_holder.on_request("y", request(incarnation=life), 200 * S)
    assert len(lease_holder.former_fronts) <= 1000


def test_unlisted_sources_do_not_grow_the_tables():
    lease_holder = LeaseHolder(5, SETTINGS, 0)
    lease_holder.on_request(
        "a", request(echo=S, rows=[[at, 1, 0, 9, 9, [[1, 1, 1]]] for at in range(1000, 2000)]), S
    )
    assert (
        not lease_holder.allocator.slot_time
        and not lease_holder.limits
        and not lease_holder.fronts["a"].demand
    )


def test_the_adaptive_limit_follows_late_fills_and_slow_start_grows_linearly():
    one = AdaptiveLimit(0)
    one.fills_ended(10, 4, S)
    assert one.ratio == 0.8
    for n in range(2, 40):
        one.fills_ended(10, 9, n * S)
    assert one.ratio == slots.LIMIT_RATIO_MIN
    for n in range(40, 80):
        one.fills_ended(10, 0, n * S)
    assert one.ratio == 1.0
    assert (
        slots.slow_start_ratio(100 * S, 10 * S, 0.2, 105 * S) == pytest.approx(0.6)
        and slots.slow_start_ratio(0, 10 * S, 0.2, 1) == 1.0
    )


def test_messages_are_the_same_after_decoding_and_invalid_ones_are_refused():
    grant = LeaseGrant(1, 2, 3, 4, [[21, 1, [[2, 5]]]])
    assert decode(encode(grant), SETTINGS) == LeaseGrant(1, 2, 3, 4, [(21, 1, [(2, 5)])])
    asked_for = request(rows=[[21, 1, 2, 3, 0, [[1, 1, 4]]]])
    assert decode(encode(asked_for), SETTINGS).sources == [(21, 1, 2, 3, 0, [(1, 1, 4)])]
    for bad in (
        LeaseGrant(1, 2, 3, 4, [[21, 2, [[2, 5]]]]),
        LeaseGrant(1, 2, 3, 4, [[21, 0, [[9, 1]]]]),
        LeaseGrant(1, 2, 3, 4, [[21, -1, []]]),
        request(rows=[[21, -1, 0, 0, 0, []]]),
    ):
        with pytest.raises(FrameError):
            decode(encode(bad), SETTINGS)
    for data in (b"", b"\xc1", encode(grant)[:-1]):
        with pytest.raises(FrameError):
            decode(data, SETTINGS)


@pytest.mark.parametrize("size, loss", [(3, 0.0), (4, 0.2), (6, 0.1)])
def test_no_invariant_is_violated_under_faults(size, loss):
    for seed in range(3):
        assert sharing.find_violations(sharing.play_schedule(seed, size, loss, span=8 * S).trace) == []


# Each of these seeds once ran one fill too many: slots of the former lease holder were still counted for a front after
# that lease holder had lent them again.
@pytest.mark.parametrize("seed, size, loss", [(12, 3, 0.2), (8, 8, 0.0)])
def test_seeds_of_former_violations(seed, size, loss):
    assert sharing.find_violations(sharing.play_schedule(seed, size, loss).trace) == []


def test_a_fleet_without_faults_shares_by_weight_and_leaves_no_slot_idle():
    assert sharing.find_violations(sharing.play_schedule(5, 4, quiet=True, span=8 * S).trace) == []


def _use_floor_at_once(monkeypatch):
    def available_slots(self, source, now, real=Borrower.available_slots):
        if now < self.expires:
            return real(self, source, now)
        return AvailableSlots({}, self.settings.floor(self.name, source))

    monkeypatch.setattr(Borrower, "available_slots", available_slots)


def _ignore_former_lease_holder(monkeypatch):
    monkeypatch.setattr(LeaseHolder, "_lendable", staticmethod(lambda front, source, floor, now: floor))


def _never_abandon(monkeypatch):
    monkeypatch.setattr(FairQueue, "next_deadline", lambda self: None)
    monkeypatch.setattr(FairQueue, "on_timer", lambda self, now: [])


def _give_all_to_one_tenant(monkeypatch):
    monkeypatch.setattr(
        SlotAllocator,
        "divide",
        lambda self, source, capacity, demand, former: {name: ({0: capacity}, 0) for name in demand},
    )


def _lend_half(monkeypatch):
    monkeypatch.setattr(
        LeaseHolder,
        "capacity",
        lambda self, source, now, real=LeaseHolder.capacity: real(self, source, now) // 2,
    )


def _assume_no_fill_time(monkeypatch):
    monkeypatch.setattr(SourceQueue, "mean_fill_time", lambda self: 1)


@pytest.mark.parametrize(
    "name, inject, quiet",
    [
        ("places_over", _use_floor_at_once, False),
        ("places_over", _ignore_former_lease_holder, False),
        ("unanswered", _never_abandon, False),
        ("starved", _give_all_to_one_tenant, True),
        ("idle", _lend_half, True),
        ("late_sheds", _assume_no_fill_time, False),
    ],
)
def test_each_checker_finds_its_injected_defect(monkeypatch, name, inject, quiet):
    inject(monkeypatch)
    violations = (
        violation
        for seed in range(8)
        for violation, _ in sharing.find_violations(
            sharing.play_schedule(seed, 4, quiet=quiet, span=8 * S).trace
        )
    )
    assert any(violation == name for violation in violations)


def test_exploring_small_instances_finds_an_injected_defect(monkeypatch):
    assert explore_shares.explore_to_depth(2) > 300
    _use_floor_at_once(monkeypatch)
    _, two, _ = explore_shares.PERIODS
    with pytest.raises(explore_shares.Broken):
        for one, other in itertools.permutations(explore_shares.NAMES, 2):
            made = explore_shares.Instance()  # four steps lead to too many fills, for some pair of fronts
            for step in (
                ("get", (one, 0)),
                ("goes-on", (two, "", False)),
                ("goes-on", (two, "", True)),
                ("get", (other, 1)),
            ):
                assert step in made.possible()
                made.step(*step)


# The operator's file.

GOOD = (
    'fleet {\n    name "x"\n    listen "127.0.0.1:1"\n}\nshares {\n    header "X-Tenant"\n'
    '    tenants "gold 4" "iron 1 1"\n'
    '    places "parent 8" "origin 2"\n    fronts "n0" "n1"\n}\n'
)


def test_the_file_gives_tenants_slots_and_fronts():
    node = operator_file.parse(GOOD, "f.kdl").shares
    assert node.tenant_weights == [(1, 0), (4, 0), (1, 1)] and node.slot_counts == {"parent": 8, "origin": 2}
    assert node.tenant_indices == {b"gold": 1, b"iron": 2} and node.tenant_names == ["common", "gold", "iron"]


@pytest.mark.parametrize(
    "old, new, line, key",
    [
        ('"iron 1 1"', '"gold 1"', 7, "shares.tenants"),
        ('"iron 1 1"', '"iron 1 3"', 7, "shares.tenants"),
        ('"iron 1 1"', '"iron 0"', 7, "shares.tenants"),
        ('"iron 1 1"', '"common 1"', 7, "shares.tenants"),
        ('"X-Tenant"', '"X-Call-Id"', 6, "shares.header"),
        ('"X-Tenant"', '"no header"', 6, "shares.header"),
        ('"origin 2"', '"origin none"', 8, "shares.places"),
        ('"n0" "n1"', '"n0" "n0"', 9, "shares.fronts"),
        ("    fronts", "    front", 9, "shares.front"),
        ('fleet {\n    name "x"\n    listen "127.0.0.1:1"\n}\n', "\n\n\n\n", 5, "shares"),
    ],
)
def test_an_invalid_file_is_refused_with_file_line_and_key(old, new, line, key):
    with pytest.raises(OperatorFileError) as fault:
        operator_file.parse(GOOD.replace(old, new), "f.kdl")
    assert str(fault.value).startswith(f"f.kdl:{line}: {key}")


def test_without_their_nodes_quotas_and_the_log_are_not_imported():
    code = (
        "import sys, sprucegate.assembly.run, sprucegate.fleet.service\n"
        "print([m for m in sys.modules if 'fleet.quotas' in m or 'fleet.consensus' in m])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"


# Real fronts with caches of different speeds, and a parent and an origin that count their fills.

SHARES = (
    'shares {{\n    header "X-Tenant"\n    tenants "gold 2" "iron 2" "greedy 1"\n'
    '    places "parent 6" "origin 3"\n'
    "    fronts {}\n    longest (s)1\n}}\n"
)
FIRST_BYTES = {"gold": 1, "iron": 2, "greedy": 3}


@pytest.fixture
def shared(tmp_path):
    size = 4
    fronts = " ".join(f'"n{at}"' for at in range(size))
    boxes = filling.start_boxes([1, 1, 2], {"s-13": 6, "s-14": 3}, tmp_path / "fills")
    with Rig(
        tmp_path,
        size,
        boxes=boxes,
        kinds=("std", "std", "std", "parent", "origin"),
        more=SHARES.format(fronts).replace("{", "{{").replace("}", "}}"),
    ) as rig:
        rig.start_all()
        rig.wait(
            lambda: all(
                one["all_here"] or one["steward"]
                for name in rig.names
                for one in rig.fronts[name].ask("why", "share")["facts"]
            )
        )
        rig.wait(lambda: sum(share(rig, name)["all_here"] for name in rig.names) == 6)
        yield rig


def share(rig, name, tenant="gold", source="s-13"):
    answer = rig.fronts[name].ask("why", "share", tenant)
    return next((one for one in answer["facts"] if one["source"] == source), {}) if answer else {}


class Gets(threading.Thread):
    """One tenant's GETs at one front, each of another object; `statuses`: how often each came, 0 for no answer."""

    calls = itertools.count(1)

    def __init__(self, rig, name, tenant):
        super().__init__(daemon=True)
        self.rig, self.name_of, self.tenant, self.stopped, self.statuses, self.longest = (
            rig,
            name,
            tenant,
            False,
            {},
            0.0,
        )

    def run(self):
        while not self.stopped:
            call = next(self.calls)
            begun = time.monotonic()
            try:
                status, _ = self.rig.get(
                    self.name_of,
                    FIRST_BYTES[self.tenant] << 56 | call,
                    call,
                    extra=f"X-Tenant: {self.tenant}\r\n",
                )
            except OSError:
                status = 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.longest = max(self.longest, time.monotonic() - begun)
            if status == 503:
                time.sleep(0.02)  # retrying at once would only load the machine


def start_load(rig, **each):
    made = [
        Gets(rig, name, tenant) for tenant, count in each.items() for name in rig.names for _ in range(count)
    ]
    for one in made:
        one.start()
    return made


def stop_load(gets):
    for one in gets:
        one.stopped = True
    for one in gets:
        one.join(10)


def slot_time(rig, since):
    """({tenant: seconds of fills at the parent}, fills above the limit), of those that began after `since` (ns)."""
    rows, over = filling.read_fills(rig.folder / "fills")
    got = dict.fromkeys(FIRST_BYTES, 0.0)
    for at, source, thing, took in rows:
        if at >= since and source == "s-13":
            got[next(name for name, first in FIRST_BYTES.items() if first == thing >> 56)] += took / 1e9
    return got, over


def test_a_greedy_tenant_takes_no_slots_of_other_tenants(shared):
    gets = start_load(shared, greedy=6, gold=2, iron=2)
    shared.wait(lambda: sum(slot_time(shared, 0)[0].values()) > 6)
    since = time.time_ns()
    shared.wait(lambda: sum(slot_time(shared, since)[0].values()) > 24, 40)
    stop_load(gets)
    got, over = slot_time(shared, since)
    total = sum(got.values())
    # Expected: two, two and one fifth. In proportion to waiting GETs it would be one, one and three fifths.
    assert (
        over == 0
        and got["gold"] / total > 0.28
        and got["iron"] / total > 0.28
        and got["greedy"] / total > 0.08
    )
    assert not sum(one.statuses.get(0, 0) for one in gets)


@pytest.mark.parametrize("how", ["killed", "stopped", "cut"])
def test_the_slots_are_never_exceeded_when_the_lease_holder_fails(shared, how):
    gets = start_load(shared, greedy=4, gold=2)
    shared.wait(lambda: sum(slot_time(shared, 0)[0].values()) > 6)
    former = share(shared, "n0")["steward"]
    front = shared.fronts[former]
    others = [name for name in shared.names if name != former]
    if how == "killed":
        front.kill()
    elif how == "stopped":
        front.signal(signal.SIGSTOP)
    else:
        shared.split([former], others)
    shared.wait(
        lambda: all(share(shared, name).get("steward") not in (None, "", former) for name in others), 40
    )
    replaced = time.time_ns()
    shared.wait(lambda: sum(slot_time(shared, replaced)[0].values()) > 8, 30)
    if how == "killed":
        front.start()
        front.until("ready", len(front.lines) - 1)
    elif how == "stopped":
        front.signal(signal.SIGCONT)
    else:
        shared.inject_fault("heal")
    shared.wait(
        lambda: all(
            share(shared, name).get("steward") == share(shared, "n0").get("steward") != ""
            for name in shared.names
        ),
        30,
    )
    again = time.time_ns()
    shared.wait(lambda: sum(slot_time(shared, again)[0].values()) > 8, 30)
    stop_load(gets)
    got, over = slot_time(shared, again)
    assert over == 0 and got["gold"] > got["greedy"]
    lost = [one for one in gets if one.statuses.get(0) and one.name_of != former]
    assert not lost


def test_a_disconnected_front_has_its_floor_and_no_other_front_uses_it(shared):
    shared.split(["n0"], shared.names[1:])
    floors = {name: share(shared, name)["floor"] for name in shared.names}
    assert sum(floors.values()) == 6
    shared.wait(lambda: share(shared, "n0").get("steward", "").startswith("none"), 30)
    shared.wait(lambda: share(shared, "n0")["all_here"] == floors["n0"], 30)
    gets = start_load(shared, gold=3)
    shared.wait(lambda: sum(slot_time(shared, 0)[0].values()) > 6, 30)
    stop_load(gets)
    assert slot_time(shared, 0)[1] == 0
    assert sum(share(shared, name)["all_here"] for name in shared.names[1:]) <= 6 - floors["n0"]


@pytest.mark.parametrize(
    "extra",
    [
        "",
        "X-Tenant: \r\n",
        "X-Tenant: \xff\xfe\r\n",
        "X-Tenant: a\r\nX-Tenant: b\r\n",
        f"X-Tenant: {'x' * 6000}\r\n",
    ],
)
def test_an_invalid_header_is_served_as_the_common_tenant(extra, shared):
    call = next(Gets.calls)
    with socket.create_connection(("127.0.0.1", shared.fronts["n0"].port), timeout=5) as sock:
        assert shared.get("n0", FIRST_BYTES["gold"] << 56 | call, call, sock, extra)[0] == 200
    shared.fronts["n0"].until("second", tenants_unlisted=1)


def coordinators(names, now=10 * S):
    made = {
        name: QuotaCoordinator(name, 1, SETTINGS, now - 2 * promise_duration(SETTINGS.floor_waiver))
        for name in names
    }
    for one in made.values():
        one.on_view_changed([(n, 1) for n in names], True, True, now)
    return made


def deliver(made, actions, now):
    """Deliver messages until there are none; return (front, lease holder) of the fronts that changed theirs."""
    moved, todo = [], list(actions)
    while todo:
        name, action = todo.pop(0)
        if isinstance(action, Send) and action.to in made:
            todo += [(action.to, a) for a in made[action.to].on_message(name, action.message, now)]
        elif isinstance(action, LeaseHolderChanged):
            moved.append((name, action.name))
    return moved


def test_a_returning_lease_holder_joins_the_present_one_and_of_two_the_smaller_gives_way():
    made, now = coordinators(("a", "b", "c")), 10 * S
    first = made["a"].borrower.lease_holder.name
    for _ in range(4):  # all follow the first by hash
        now += 300 * MS
        deliver(made, [(n, x) for n, one in made.items() for x in one.on_timer(now)], now)
    assert made[first].lease_holder.follower_count(now) == 3
    # The first is disconnected, and the others follow another one; the first is then followed by itself alone.
    others = [name for name in made if name != first]
    for name in others:
        made[name].on_view_changed([(n, 1) for n in others], True, True, now)
    second = made[others[0]].borrower.lease_holder.name
    made[first].on_view_changed([(first, 1)], True, True, now)
    for _ in range(4):
        now += 300 * MS
        deliver({n: made[n] for n in others}, [(n, x) for n in others for x in made[n].on_timer(now)], now)
        deliver({first: made[first]}, [(first, x) for x in made[first].on_timer(now)], now)
    for one in made.values():
        one.on_view_changed([(n, 1) for n in made], True, True, now)
    moved = []
    for _ in range(5):
        now += 300 * MS
        moved += deliver(made, [(n, x) for n, one in made.items() for x in one.on_timer(now)], now)
    assert moved == [(first, second)] and {one.borrower.lease_holder.name for one in made.values()} == {
        second
    }


def test_a_front_whose_fleet_service_is_off_uses_its_floor(tmp_path):
    boxes = filling.start_boxes([1], {"s-11": 4, "s-12": 2}, tmp_path / "fills")
    more = SHARES.format('"n0" "n1"').replace('"parent 6" "origin 3"', '"parent 4" "origin 2"')
    with Rig(
        tmp_path,
        1,
        boxes=boxes,
        kinds=("std", "parent", "origin"),
        more=more.replace("{", "{{").replace("}", "}}"),
    ) as rig:
        (rig.fronts["n0"].folder / "state").write_text("no folder")
        rig.fronts["n0"].start()
        rig.fronts["n0"].until("fleet_off")
        rig.fronts["n0"].until("ready")
        call = next(Gets.calls)
        # The floor may still be lent by a former incarnation: rejected at once.
        assert rig.get("n0", call, call)[0] == 503

        def filled():
            call = next(Gets.calls)
            return rig.get("n0", FIRST_BYTES["gold"] << 56 | call, call)[0] == 200

        rig.wait(filled)


def test_a_peer_that_grants_too_many_slots_is_refused_and_disconnected(shared):
    front = shared.fronts["n0"]
    with socket.create_connection(("127.0.0.1", front.fleet_port), 3) as sock:
        sock.sendall(
            codec.encode_greeting(codec.Greeting(codec.VERSION, "rig", "front", "n9", "127.0.0.1:1", 5))
        )
        sock.sendall(
            codec.encode_message(
                codec.ComponentMessage("shares", encode(LeaseGrant(1, 1, 1, 1, [[0x13, 7, []]])))
            )
        )
        sock.settimeout(5)
        while sock.recv(4096):
            pass  # its greeting, then the end of the connection
    assert "grant of more slots than source 13 has" in front.until("fleet_peer_refused")["error"]
    assert front.ask("status")["refused"] == 1
    assert sum(share(shared, name)["all_here"] for name in shared.names) <= 6


def test_a_tenant_at_one_front_has_the_share_of_one_at_all_fronts(shared):
    gets = [Gets(shared, "n1", "gold") for _ in range(14)]
    for one in gets:
        one.start()
    gets += start_load(shared, iron=4)
    shared.wait(lambda: sum(slot_time(shared, 0)[0].values()) > 8)
    since = time.time_ns()
    shared.wait(lambda: sum(slot_time(shared, since)[0].values()) > 20, 40)
    stop_load(gets)
    got, over = slot_time(shared, since)
    # With shares by front it would be a quarter. On a busy machine the clients of the one front don't always keep its
    # queue filled.
    assert over == 0 and 0.5 < got["gold"] / got["iron"] < 2


def test_a_large_fleet_keeps_shares_when_the_lease_holder_is_killed(tmp_path):
    fronts = " ".join(f'"n{at}"' for at in range(8))
    boxes = filling.start_boxes([1, 1.5, 2], {"s-13": 10, "s-14": 5}, tmp_path / "fills")
    more = SHARES.format(fronts).replace('"parent 6" "origin 3"', '"parent 10" "origin 5"')
    with Rig(
        tmp_path,
        8,
        boxes=boxes,
        kinds=("std", "std", "std", "parent", "origin"),
        keepers=3,
        more=more.replace("{", "{{").replace("}", "}}"),
    ) as rig:
        rig.start_all(60)
        rig.wait(lambda: sum(share(rig, name).get("all_here", 0) for name in rig.names) == 10, 40)
        gets = start_load(rig, greedy=4, gold=2, iron=2)
        rig.wait(lambda: sum(slot_time(rig, 0)[0].values()) > 10, 40)
        former = share(rig, "n0")["steward"]
        rig.fronts[former].kill()
        others = [name for name in rig.names if name != former]
        killed = time.time_ns()
        rig.wait(lambda: all(share(rig, name).get("steward") not in ("", former) for name in others))
        rig.wait(lambda: sum(slot_time(rig, killed + 2 * S)[0].values()) > 20, 60)
        stop_load(gets)
        got, over = slot_time(rig, killed + 2 * S)  # two seconds after the kill the shares hold again
        total = sum(got.values())
        assert over == 0 and got["gold"] / total > 0.28 and got["iron"] / total > 0.28
        assert not [one for one in gets if one.statuses.get(0) and one.name_of != former]
