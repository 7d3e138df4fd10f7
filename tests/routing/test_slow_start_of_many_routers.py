"""What many fronts together send to one cold cache, each with a Router of its own that sees a part of the GETs."""

from bisect import bisect_left
from math import sqrt
from zlib import crc32

import pytest
from helpers import NOW, SETTINGS, asked, entry

from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MILLISECOND as MS
from sprucegate.units import SECOND as S

CACHES, ORIGIN, COLD = (11, 12, 13, 14, 15, 16), 31, 16
SERVICE = 40 * MS


def drawn(*of):
    return crc32("/".join(map(str, of)).encode()) / 2**32


class Fleet:
    """`rate` GETs a second over all fronts, the parts as `parts` has them; a GET is returned after SERVICE."""

    def __init__(self, count, rate, uneven, seed, **settings):
        self.settings = {
            **SETTINGS,
            "cold_share": 0.25,
            "warm_time": 12 * S,
            "fall_time": S,
            "siblings": "none",
            "latency_objective": [600 * MS] * 3,
            **settings,
        }
        self.fronts = [
            Router(
                RoutingSettings.from_mapping({**self.settings, "my_number": at}),
                crc32(b"%d %d" % (seed, at)),
                NOW,
            )
            for at in range(count)
        ]
        for front in self.fronts:
            front.update_endpoints([entry(at) for at in (*CACHES, ORIGIN)], True, NOW)
        parts = [1 / (1 + at) if uneven else 1 for at in range(count)]
        self.parts = [sum(parts[: at + 1]) / sum(parts) for at in range(count)]
        self.rate, self.seed, self.at, self.count, self.sent, self.completions = rate, seed, NOW, 0, [], []

    def told(self, at, started):
        self.fronts[at].update_endpoints([entry(COLD, started=started)], False, self.at)

    def run(self, until, loud=lambda at: 1.0):
        """GETs that come as in a Poisson stream, `loud` times as many; what has been returned is told in its order."""
        while self.at < until:
            draw = drawn(self.seed, "gap", self.count)
            level = loud(self.at)
            self.at += int(S / self.rate / max(level, 1e-9) * -_log(draw)) if level else 10 * MS
            while self.completions and self.completions[0][0] <= self.at:
                when, handle, number, found = self.completions.pop(0)
                handle.attempt_ended(number, AttemptOutcome.RETURNED, found, SERVICE, 0, {}, True, when)
            if level:
                self.count += 1
                self.one()

    def one(self):
        front = self.fronts[bisect_left(self.parts, drawn(self.seed, "front", self.count))]
        handle = front.start_request(
            asked(f"g{self.count}", obj=int(drawn(self.seed, "of", self.count) ** 2 * 3000)), self.at
        )
        for said in handle.route(self.at):
            if isinstance(said, SendAttempt):
                if COLD in (said.cache, said.fill_source):
                    self.sent.append(self.at)
                self.completions.append((self.at + SERVICE, handle, said.number, CacheStatus.HIT))

    def budget(self, at, started):
        """What the settings allow in the window that ends at `at`: of what a warm cache of its weight returns."""
        share = min(1.0, 0.25 + 0.75 * max(0, at - started) / self.settings["warm_time"])
        return (
            self.settings["fall_multiple"] * share * self.rate / len(CACHES) * self.settings["fall_time"] / S
        )

    def over(self, started):
        """(the largest sum of a window, by how much the most over its bound, the budget at the start)."""
        window, sent, worst, most = self.settings["fall_time"], self.sent, -99.0, 0
        for at, when in enumerate(sent):
            if when < started + self.settings["warm_time"]:
                inside = at + 1 - bisect_left(sent, when - window + 1)
                allowed = self.budget(when, started)
                worst, most = max(worst, inside - allowed - 2 * sqrt(allowed) - 2), max(most, inside)
        return most, worst, self.budget(started, started)


def _log(draw):
    from math import log

    return log(1 - draw)


def steady(at):
    return 1.0


def quiet_then_loud(at):
    """Three seconds of next to nothing, then one of four times as much: what was saved up would come at once."""
    return 4.0 if (at - NOW) // S % 4 == 3 else 0.05


def played(count, rate, uneven, spread, loud, multiple, seed):
    fleet = Fleet(count, rate, uneven, seed, fall_multiple=multiple)
    fleet.run(NOW + 6 * S)
    fleet.sent.clear()
    started = fleet.at
    # Told at different times, to some twice, and to half of them with a start that is told anew later.
    for round_ in range(8):
        for at in range(count):
            if int(drawn(seed, "told", at) * 8 * spread) == round_ or round_ == 7 and at % 3 == 0:
                fleet.told(at, started)
        fleet.run(started + (round_ + 1) * S // 4, loud)
    fleet.run(started + 10 * S, loud)
    return fleet.over(started)


@pytest.mark.parametrize("count", [3, 20, 30])
@pytest.mark.parametrize("rate, multiple", [(30, 4.0), (30, 2.0), (200, 4.0), (200, 2.0)])
@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("loud", [steady, quiet_then_loud])
def test_the_sum_of_all_fronts_stays_within_what_a_cold_cache_bears(count, rate, multiple, uneven, loud):
    for seed in (1, 2):
        most, over, budget = played(count, rate, uneven, 0, loud, multiple, seed)
        assert (
            over <= 0
        ), f"seed {seed}: {most} in one window, {over:.1f} over; the budget begins at {budget:.1f}"
