"""Fair shares of slow fills: queues, leases, stewards, checkers seen to cry out, real fronts with a greedy tenant."""

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
from tests.helpers import CACHES, NOW, ORIGIN, PARENTS, asked, believed, router

MS, S = 1_000_000, 1_000_000_000
TERMS = QuotaSettings((Tenant(1, 0), Tenant(1, 0), Tenant(2, 0)), ("a", "b", "c"), {21: 6, 31: 2}, S, 20)


# The seam in the rules.


def test_a_slow_get_waits_before_anything_is_counted_and_a_hit_or_a_write_never_does():
    made = router()
    ask = asked()
    made.slot_limited_sources = {PARENTS[0], PARENTS[1], ORIGIN}
    get = made.start_request(ask, NOW)
    out = sum(n.in_flight for n in made.registry.servers.values())
    [said] = get.route(NOW)
    assert isinstance(said, AwaitSlot) and said.fill_source in made.slot_limited_sources and not get.attempts
    assert (
        sum(n.in_flight for n in made.registry.servers.values()) == out
        and not made.sources.fills
        and not get.is_settled()
    )
    get.slot_source = said.fill_source
    [sent] = get.route(NOW)
    assert sent.fill_source == said.fill_source
    for cache in CACHES:
        believed(made, ask, cache)
    assert not isinstance(
        made.start_request(ask, NOW).route(NOW)[0], AwaitSlot
    )  # a sibling, or the cache itself, has it
    assert not isinstance(made.start_request(asked(ds=2), NOW).route(NOW)[0], AwaitSlot)
    made.slot_limited_sources = ()
    assert not isinstance(made.start_request(asked(obj=5), NOW).route(NOW)[0], AwaitSlot)


# In one front.


def queue(lent=None, count=2, terms=TERMS):
    return FairQueue(terms, lambda source, now: AvailableSlots(lent or {}, count))


def started(actions):
    return [a.token for a in actions if isinstance(a, StartFill)]


def test_backlogged_tenants_get_place_time_by_weight_and_not_by_count():
    one, now, order, ends = queue(), 0, itertools.count(), []
    used = dict.fromkeys((0, 1, 2), 0)
    took = {0: 200 * MS, 1: 20 * MS, 2: 60 * MS}  # one's fills are ten times as long as another's

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


def test_one_that_was_idle_has_saved_nothing_up():
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
    assert order.count("b") == 4  # in turn from here on, not six of the one that had nothing


def test_who_can_not_be_filled_in_its_time_is_answered_at_once_and_who_waits_before_its_end():
    one = queue(count=1)
    one.request_arrived("x", 21, 1, 1 << 60, 0)
    assert one.request_arrived("late", 21, 1, 150 * MS, 0) == [
        AbandonWait("late", 21)
    ]  # 100 ms each: two before its end
    assert one.request_arrived("waits", 21, 1, 250 * MS, 0) == []
    assert one.request_arrived("after", 21, 1, 280 * MS, 0) == [AbandonWait("after", 21)]
    assert one.next_deadline() == 150 * MS and one.on_timer(149 * MS) == []
    assert one.on_timer(150 * MS) == [AbandonWait("waits", 21)] and not one.waiting
    assert queue(count=0).request_arrived("none", 21, 1, 50 * MS, 0) == [AbandonWait("none", 21)]


def test_a_queue_is_bounded_by_tenant_and_a_greedy_one_fills_its_own_alone():
    one = queue(count=1)
    said = [one.request_arrived(n, 21, 1, 1 << 60, 0) for n in range(40)]
    assert sum(bool(a and isinstance(a[0], AbandonWait)) for a in said) == 19
    assert one.request_arrived("other", 21, 2, 1 << 60, 0) == []


def test_who_leaves_takes_no_place_and_what_may_go_on_at_the_source_keeps_its_own():
    one = queue(count=1)
    one.request_arrived("x", 21, 1, 1 << 60, 0)
    one.request_arrived("y", 21, 1, 1 << 60, 0)
    one.request_arrived("z", 21, 2, 1 << 60, 0)
    one.request_cancelled("y")
    one.fill_detached("x", 300 * MS)  # its client left; the fill may run for `longest`
    assert one.on_timer(999 * MS) == [] and one.next_deadline() == S
    assert one.on_timer(S) == [StartFill("z", 21)]
    assert one.sources[21].finish_tags[1] > S // 2  # and it is paid for


def test_what_is_lent_to_a_tenant_goes_before_what_is_lent_to_nobody():
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
    "said, at",
    [
        (None, (0, False)),
        (b"", (0, False)),
        (b"x" * 10_000, (0, False)),
        (b"\xff\xfe", (0, False)),
        (b"other", (0, False)),
        (b" gold ", (1, True)),
    ],
)
def test_a_header_names_a_listed_tenant_or_the_common_share(said, at):
    assert tenant_of(said, {b"gold": 1}) == at


# Among fronts.


def test_floors_of_all_fronts_make_the_places_and_no_more():
    for count, size, source in itertools.product((0, 1, 2, 5, 8, 9), (1, 3, 8), (21, 22, 31)):
        names = tuple(f"n{at}" for at in range(size))
        terms = QuotaSettings((Tenant(1, 0),), names, {source: count}, S)
        assert sum(terms.floor(name, source) for name in names) == count
        assert terms.floor("stranger", source) == 0 == terms.floor("n0", 99)


def working(now=10 * S):
    """A borrower whose floors no former life can have lent any more, with a view."""
    one = Borrower("a", 1, TERMS, now - 2 * promise_duration(TERMS.floor_waiver))
    one.may_borrow = one.may_use_floors = True
    return one


def test_a_lease_counts_from_the_question_and_is_checked_at_the_decision():
    one = working()
    assert one.available_slots(21, 10 * S) == ({}, 2)  # its floor
    one.follow(LeaseHolderId("b", 7), 10 * S)
    [said] = one.on_timer(lambda s: SourceState([TenantDemand(1, 0, 3)], 0), lambda s: (0, 0), 10 * S)
    need = said.message
    assert isinstance(said, Send) and (said.to, need.lease_holder, need.echo) == ("b", 7, 0)
    assert one.available_slots(21, 10 * S) == ({}, 0)  # its floor is the steward's to lend from here on
    assert one.on_grant(
        "b",
        LeaseGrant(need.epoch, need.sequence, 5, 9, [SourceGrant(21, 1, [TenantSlots(1, 2)])]),
        10 * S + 100 * MS,
    )
    assert one.available_slots(21, 10 * S + LEASE_DURATION - 1) == ({1: 2}, 3)
    assert one.available_slots(21, 10 * S + LEASE_DURATION) == ({}, 0)  # it stood still: no timer had to tell
    assert not one.on_grant("b", LeaseGrant(need.epoch, need.sequence, 5, 9, []), 10 * S)  # twice
    assert not one.on_grant("c", LeaseGrant(need.epoch, need.sequence, 5, 10, []), 10 * S)  # not its steward
    back = 10 * S + promise_duration(TERMS.floor_waiver)
    assert one.available_slots(21, back - 1) == ({}, 0) and one.available_slots(21, back) == ({}, 2)
    one.may_borrow = one.may_use_floors = False
    assert one.available_slots(21, back) == ({}, 0)


def need(**more):
    given = dict(
        incarnation=1, lease_holder=5, epoch=1, sequence=1, echo=0, grant=0, floors_lent=0, lease_counted=0
    )
    rows = [
        SourceDemand(*row, [TenantDemand(*one) for one in tenants]) for *row, tenants in more.pop("rows", [])
    ]
    return QuotaRequest(**given | more, sources=rows)


def test_a_steward_lends_floors_that_are_surely_its_own_and_never_more():
    steward, now = LeaseHolder(5, TERMS, 0), 100 * S
    assert steward.on_request("a", need(), now)[0].message.sources == []  # nobody's clock is known yet
    said = steward.on_request("a", need(sequence=2, echo=now, rows=[[21, 0, 0, 0, 0, [[1, 0, 9]]]]), now)[
        0
    ].message
    assert said.sources == [(21, 0, [(1, 2)]), (31, 1, [])] and steward.capacity(21, now) == 2
    assert steward.on_request("a", need(sequence=2, echo=now), now) == []  # twice
    assert (
        steward.on_request("b", need(lease_holder=6, echo=now), now) == []
    )  # meant for another life of this name
    steward.on_request("b", need(echo=now, rows=[[21, 3, 0, 0, 0, [[2, 3, 1]]]]), now)
    assert steward.capacity(21, now) == 4
    # b uses three still: of four there is one, whatever a may have by weight.
    said = steward.on_request(
        "a", need(sequence=3, echo=now, grant=said.grant, rows=[[21, 0, 0, 0, 0, [[1, 0, 9]]]]), now
    )
    assert said[0].message.sources[0] == (21, 0, [(1, 1)])
    # Once a front was not heard for SLACK its floor is lent no more: leases by it have to be over when it uses it.
    assert steward.capacity(21, now + S) == 0


@pytest.mark.parametrize(
    "old, held, lent, after", [(0, 0, 0, 2), (S, 0, 0, 0), (S, S, 3, 2), (S, 0, 3, 2), (S, 0, 1, 1)]
)
def test_what_a_former_steward_may_still_lend_is_taken_off(old, held, lent, after):
    steward, now = LeaseHolder(5, TERMS, 0), 100 * S
    steward.on_request(
        "a", need(echo=now, floors_lent=old, lease_counted=held, rows=[[21, 0, lent, 0, 0, []]]), now
    )
    assert steward.capacity(21, now) == after
    later_on = now + 2 * S
    steward.on_request("a", need(sequence=2, echo=later_on), later_on)
    assert steward.capacity(21, later_on) == 2


def test_fronts_of_the_past_make_way_and_many_lives_at_once_do_not_pile_up():
    steward = LeaseHolder(5, TERMS, 0)
    for at in range(1500):
        steward.on_request(f"x{at}", need(), S)
    assert len(steward.fronts) == 1000 and not steward.on_request("y", need(), 2 * S)
    assert steward.on_request("y", need(), 200 * S) and len(steward.fronts) == 1
    for life in range(2, 1500):
        steward.on_request("y", need(incarnation=life), 200 * S)
    assert len(steward.former_fronts) <= 1000


def test_sources_that_are_not_listed_fill_no_table():
    steward = LeaseHolder(5, TERMS, 0)
    steward.on_request("a", need(echo=S, rows=[[at, 1, 0, 9, 9, [[1, 1, 1]]] for at in range(1000, 2000)]), S)
    assert not steward.allocator.slot_time and not steward.limits and not steward.fronts["a"].demand


def test_places_are_learned_from_what_comes_late_and_grow_with_a_cold_source():
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


def test_words_on_shares_come_as_they_went_and_what_can_not_be_is_refused():
    said = LeaseGrant(1, 2, 3, 4, [[21, 1, [[2, 5]]]])
    assert decode(encode(said), TERMS) == LeaseGrant(1, 2, 3, 4, [(21, 1, [(2, 5)])])
    asked_for = need(rows=[[21, 1, 2, 3, 0, [[1, 1, 4]]]])
    assert decode(encode(asked_for), TERMS).sources == [(21, 1, 2, 3, 0, [(1, 1, 4)])]
    for bad in (
        LeaseGrant(1, 2, 3, 4, [[21, 2, [[2, 5]]]]),
        LeaseGrant(1, 2, 3, 4, [[21, 0, [[9, 1]]]]),
        LeaseGrant(1, 2, 3, 4, [[21, -1, []]]),
        need(rows=[[21, -1, 0, 0, 0, []]]),
    ):
        with pytest.raises(FrameError):
            decode(encode(bad), TERMS)
    for data in (b"", b"\xc1", encode(said)[:-1]):
        with pytest.raises(FrameError):
            decode(data, TERMS)


@pytest.mark.parametrize("size, loss", [(3, 0.0), (4, 0.2), (6, 0.1)])
def test_no_promise_breaks_under_troubles(size, loss):
    for seed in range(3):
        assert sharing.broken(sharing.played(seed, size, loss, span=8 * S).trace) == []


# Each found one fill too many: what the former steward lent was counted after it had lent it anew.
@pytest.mark.parametrize("seed, size, loss", [(12, 3, 0.2), (8, 8, 0.0)])
def test_a_seed_that_broke_is_kept(seed, size, loss):
    assert sharing.broken(sharing.played(seed, size, loss).trace) == []


def test_a_fleet_without_trouble_shares_by_weight_and_leaves_no_place_idle():
    assert sharing.broken(sharing.played(5, 4, quiet=True, span=8 * S).trace) == []


def _floor_at_once(monkeypatch):
    def room(self, source, now, room=Borrower.available_slots):
        if now < self.expires:
            return room(self, source, now)
        return AvailableSlots({}, self.settings.floor(self.name, source))

    monkeypatch.setattr(Borrower, "available_slots", room)


def _former_forgotten(monkeypatch):
    monkeypatch.setattr(LeaseHolder, "_lendable", staticmethod(lambda front, source, floor, now: floor))


def _never_gives_up(monkeypatch):
    monkeypatch.setattr(FairQueue, "next_deadline", lambda self: None)
    monkeypatch.setattr(FairQueue, "on_timer", lambda self, now: [])


def _all_to_one(monkeypatch):
    monkeypatch.setattr(
        SlotAllocator,
        "divide",
        lambda self, source, capacity, wants, was: {name: ({0: capacity}, 0) for name in wants},
    )


def _half_lent(monkeypatch):
    monkeypatch.setattr(
        LeaseHolder, "capacity", lambda self, source, now, c=LeaseHolder.capacity: c(self, source, now) // 2
    )


def _late(monkeypatch):
    monkeypatch.setattr(SourceQueue, "mean_fill_time", lambda self: 1)


@pytest.mark.parametrize(
    "name, sow, quiet",
    [
        ("places_over", _floor_at_once, False),
        ("places_over", _former_forgotten, False),
        ("unanswered", _never_gives_up, False),
        ("starved", _all_to_one, True),
        ("idle", _half_lent, True),
        ("late_sheds", _late, False),
    ],
)
def test_a_sown_defect_makes_its_checker_cry_out(monkeypatch, name, sow, quiet):
    sow(monkeypatch)
    cries = (
        cry
        for seed in range(8)
        for cry, _ in sharing.broken(sharing.played(seed, 4, quiet=quiet, span=8 * S).trace)
    )
    assert any(cry == name for cry in cries)


def test_small_instances_are_explored_and_a_sown_defect_is_found(monkeypatch):
    assert explore_shares.explored(2) > 300
    _floor_at_once(monkeypatch)
    _, two, _ = explore_shares.WHILES
    with pytest.raises(explore_shares.Broken):
        for one, other in itertools.permutations(explore_shares.NAMES, 2):
            made = explore_shares.Instance()  # a path of four steps that goes over, found by which two fronts
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


def test_the_file_says_tenants_places_and_fronts():
    node = operator_file.parse(GOOD, "f.kdl").shares
    assert node.weights == [(1, 0), (4, 0), (1, 1)] and node.counts == {"parent": 8, "origin": 2}
    assert node.listed == {b"gold": 1, b"iron": 2} and node.names == ["common", "gold", "iron"]


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
def test_a_file_that_can_not_be_is_refused_with_file_line_and_key(old, new, line, key):
    with pytest.raises(OperatorFileError) as fault:
        operator_file.parse(GOOD.replace(old, new), "f.kdl")
    assert str(fault.value).startswith(f"f.kdl:{line}: {key}")


def test_without_its_node_nothing_of_it_is_imported():
    code = (
        "import sys, sprucegate.assembly.run, sprucegate.fleet.service\n"
        "print([m for m in sys.modules if 'fleet.shares' in m or 'fleet.agree' in m])"
    )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.strip() == "[]"


# Real fronts, caches of three paces, a parent and an origin that count their fills.

SHARES = (
    'shares {{\n    header "X-Tenant"\n    tenants "gold 2" "iron 2" "greedy 1"\n'
    '    places "parent 6" "origin 3"\n'
    "    fronts {}\n    longest (s)1\n}}\n"
)
OF = {"gold": 1, "iron": 2, "greedy": 3}


@pytest.fixture
def shared(tmp_path):
    size = 4
    fronts = " ".join(f'"n{at}"' for at in range(size))
    boxes = filling.boxes([1, 1, 2], {"s-13": 6, "s-14": 3}, tmp_path / "fills")
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
    said = rig.fronts[name].ask("why", "share", tenant)
    return next((one for one in said["facts"] if one["source"] == source), {}) if said else {}


class Gets(threading.Thread):
    """GETs of ever other objects of one tenant at one front; `said`: how often each status came, 0 for none."""

    calls = itertools.count(1)

    def __init__(self, rig, name, tenant):
        super().__init__(daemon=True)
        self.rig, self.name_of, self.tenant, self.stopped, self.said, self.longest = (
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
                    self.name_of, OF[self.tenant] << 56 | call, call, extra=f"X-Tenant: {self.tenant}\r\n"
                )
            except OSError:
                status = 0
            self.said[status] = self.said.get(status, 0) + 1
            self.longest = max(self.longest, time.monotonic() - begun)
            if status == 503:
                time.sleep(0.02)  # what comes again at once would only heat the machine


def loads(rig, **each):
    made = [
        Gets(rig, name, tenant) for tenant, count in each.items() for name in rig.names for _ in range(count)
    ]
    for one in made:
        one.start()
    return made


def ends(gets):
    for one in gets:
        one.stopped = True
    for one in gets:
        one.join(10)


def place_time(rig, since):
    """({tenant: seconds at the parent}, fills over) that began after `since` (ns)."""
    rows, over = filling.counted(rig.folder / "fills")
    got = dict.fromkeys(OF, 0.0)
    for at, source, thing, took in rows:
        if at >= since and source == "s-13":
            got[next(name for name, first in OF.items() if first == thing >> 56)] += took / 1e9
    return got, over


def test_a_greedy_tenant_takes_no_places_of_its_neighbours(shared):
    gets = loads(shared, greedy=6, gold=2, iron=2)
    shared.wait(lambda: sum(place_time(shared, 0)[0].values()) > 6)
    since = time.time_ns()
    shared.wait(lambda: sum(place_time(shared, since)[0].values()) > 24, 40)
    ends(gets)
    got, over = place_time(shared, since)
    total = sum(got.values())
    # Two fifths, two fifths, one fifth; by GETs that wait it would be a fifth, a fifth, three fifths.
    assert (
        over == 0
        and got["gold"] / total > 0.28
        and got["iron"] / total > 0.28
        and got["greedy"] / total > 0.08
    )
    assert not sum(one.said.get(0, 0) for one in gets)


@pytest.mark.parametrize("how", ["killed", "stopped", "cut"])
def test_the_steward_goes_and_the_places_are_never_over(shared, how):
    gets = loads(shared, greedy=4, gold=2)
    shared.wait(lambda: sum(place_time(shared, 0)[0].values()) > 6)
    steward = share(shared, "n0")["steward"]
    front = shared.fronts[steward]
    others = [name for name in shared.names if name != steward]
    if how == "killed":
        front.kill()
    elif how == "stopped":
        front.signal(signal.SIGSTOP)
    else:
        shared.split([steward], others)
    shared.wait(
        lambda: all(share(shared, name).get("steward") not in (None, "", steward) for name in others), 40
    )
    moved = time.time_ns()
    shared.wait(lambda: sum(place_time(shared, moved)[0].values()) > 8, 30)
    if how == "killed":
        front.start()
        front.until("ready", len(front.lines) - 1)
    elif how == "stopped":
        front.signal(signal.SIGCONT)
    else:
        shared.trouble("heal")
    shared.wait(
        lambda: all(
            share(shared, name).get("steward") == share(shared, "n0").get("steward") != ""
            for name in shared.names
        ),
        30,
    )
    again = time.time_ns()
    shared.wait(lambda: sum(place_time(shared, again)[0].values()) > 8, 30)
    ends(gets)
    got, over = place_time(shared, again)
    assert over == 0 and got["gold"] > got["greedy"]
    lost = [one for one in gets if one.said.get(0) and one.name_of != steward]
    assert not lost


def test_a_front_alone_has_its_floor_and_nobody_else_uses_it(shared):
    shared.split(["n0"], shared.names[1:])
    floors = {name: share(shared, name)["floor"] for name in shared.names}
    assert sum(floors.values()) == 6
    shared.wait(lambda: share(shared, "n0").get("steward", "").startswith("none"), 30)
    shared.wait(lambda: share(shared, "n0")["all_here"] == floors["n0"], 30)
    gets = loads(shared, gold=3)
    shared.wait(lambda: sum(place_time(shared, 0)[0].values()) > 6, 30)
    ends(gets)
    assert place_time(shared, 0)[1] == 0
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
def test_a_bad_header_is_served_from_the_common_share(extra, shared):
    call = next(Gets.calls)
    with socket.create_connection(("127.0.0.1", shared.fronts["n0"].port), timeout=5) as sock:
        assert shared.get("n0", OF["gold"] << 56 | call, call, sock, extra)[0] == 200
    shared.fronts["n0"].until("second", tenants_unlisted=1)


def settled(names, now=10 * S):
    made = {
        name: QuotaCoordinator(name, 1, TERMS, now - 2 * promise_duration(TERMS.floor_waiver))
        for name in names
    }
    for one in made.values():
        one.on_view_changed([(n, 1) for n in names], True, True, now)
    return made


def carried(made, actions, now):
    """Messages until there are none; stewards that fronts move to on the way."""
    moved, todo = [], list(actions)
    while todo:
        name, action = todo.pop(0)
        if isinstance(action, Send) and action.to in made:
            todo += [(action.to, a) for a in made[action.to].on_message(name, action.message, now)]
        elif isinstance(action, LeaseHolderChanged):
            moved.append((name, action.name))
    return moved


def test_one_that_returns_joins_the_steward_that_there_is_and_of_two_the_smaller_gives_way():
    made, now = settled(("a", "b", "c")), 10 * S
    first = made["a"].borrower.lease_holder.name
    for _ in range(4):  # all go by the first by hash
        now += 300 * MS
        carried(made, [(n, x) for n, one in made.items() for x in one.on_timer(now)], now)
    assert made[first].lease_holder.follower_count(now) == 3
    # Cut off, the others took another; after that the first goes by itself alone, and they by that.
    others = [name for name in made if name != first]
    for name in others:
        made[name].on_view_changed([(n, 1) for n in others], True, True, now)
    second = made[others[0]].borrower.lease_holder.name
    made[first].on_view_changed([(first, 1)], True, True, now)
    for _ in range(4):
        now += 300 * MS
        carried({n: made[n] for n in others}, [(n, x) for n in others for x in made[n].on_timer(now)], now)
        carried({first: made[first]}, [(first, x) for x in made[first].on_timer(now)], now)
    for one in made.values():
        one.on_view_changed([(n, 1) for n in made], True, True, now)
    moved = []
    for _ in range(5):
        now += 300 * MS
        moved += carried(made, [(n, x) for n, one in made.items() for x in one.on_timer(now)], now)
    assert moved == [(first, second)] and {one.borrower.lease_holder.name for one in made.values()} == {
        second
    }


def test_a_front_whose_fleet_is_off_fills_by_its_floor(tmp_path):
    boxes = filling.boxes([1], {"s-11": 4, "s-12": 2}, tmp_path / "fills")
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
        assert (
            rig.get("n0", call, call)[0] == 503
        )  # a former life's floor may still be lent: answered, not kept

        def filled():
            call = next(Gets.calls)
            return rig.get("n0", OF["gold"] << 56 | call, call)[0] == 200

        rig.wait(filled)


def test_a_peer_that_lends_what_it_has_not_is_refused_and_loses_its_connection(shared):
    front = shared.fronts["n0"]
    with socket.create_connection(("127.0.0.1", front.fleet_port), 3) as sock:
        sock.sendall(codec.greeting(codec.Greeting(codec.VERSION, "rig", "front", "n9", "127.0.0.1:1", 5)))
        sock.sendall(
            codec.frame(codec.ComponentMessage("shares", encode(LeaseGrant(1, 1, 1, 1, [[0x13, 7, []]]))))
        )
        sock.settimeout(5)
        while sock.recv(4096):
            pass  # its greeting, then the end
    assert "grant of more slots than source 13 has" in front.until("fleet_peer_refused")["error"]
    assert front.ask("status")["refused"] == 1
    assert sum(share(shared, name)["all_here"] for name in shared.names) <= 6


def test_a_tenant_that_comes_through_one_front_has_the_part_of_one_that_comes_through_all(shared):
    gets = [Gets(shared, "n1", "gold") for _ in range(14)]
    for one in gets:
        one.start()
    gets += loads(shared, iron=4)
    shared.wait(lambda: sum(place_time(shared, 0)[0].values()) > 8)
    since = time.time_ns()
    shared.wait(lambda: sum(place_time(shared, since)[0].values()) > 20, 40)
    ends(gets)
    got, over = place_time(shared, since)
    # By front it would be a quarter. On a busy machine the one front's clients are not always back in time to wait.
    assert over == 0 and 0.5 < got["gold"] / got["iron"] < 2


def test_eight_fronts_three_keepers_a_greedy_tenant_and_the_steward_killed(tmp_path):
    fronts = " ".join(f'"n{at}"' for at in range(8))
    boxes = filling.boxes([1, 1.5, 2], {"s-13": 10, "s-14": 5}, tmp_path / "fills")
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
        gets = loads(rig, greedy=4, gold=2, iron=2)
        rig.wait(lambda: sum(place_time(rig, 0)[0].values()) > 10, 40)
        steward = share(rig, "n0")["steward"]
        rig.fronts[steward].kill()
        others = [name for name in rig.names if name != steward]
        killed = time.time_ns()
        rig.wait(lambda: all(share(rig, name).get("steward") not in ("", steward) for name in others))
        rig.wait(lambda: sum(place_time(rig, killed + 2 * S)[0].values()) > 20, 60)
        ends(gets)
        got, over = place_time(rig, killed + 2 * S)  # shares are right again two seconds after
        total = sum(got.values())
        assert over == 0 and got["gold"] / total > 0.28 and got["iron"] / total > 0.28
        assert not [one for one in gets if one.said.get(0) and one.name_of != steward]
