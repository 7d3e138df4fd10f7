"""Total load of many fronts on one cold cache; each front has its own Router and sees a share of the GETs."""

from bisect import bisect_left
from math import sqrt
from zlib import crc32

import pytest
from helpers import NOW, SETTINGS, make_endpoint, make_request

from sprucegate.routing.actions import SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.units import MILLISECOND as MS
from sprucegate.units import SECOND as S

CACHES, ORIGIN, COLD = (11, 12, 13, 14, 15, 16), 31, 16
SERVICE = 40 * MS


def hash_fraction(*keys):
    return crc32("/".join(map(str, keys)).encode()) / 2**32


class SimulatedFronts:
    """Fronts that receive `rate` GETs per second in total; each GET completes after SERVICE.

    :ivar shares: cumulative shares of the GETs, by front.
    """

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
            front.update_endpoints([make_endpoint(at) for at in (*CACHES, ORIGIN)], True, NOW)
        shares = [1 / (1 + at) if uneven else 1 for at in range(count)]
        self.shares = [sum(shares[: at + 1]) / sum(shares) for at in range(count)]
        self.rate, self.seed, self.at, self.count, self.sent, self.completions = rate, seed, NOW, 0, [], []

    def announce_start(self, at, started):
        self.fronts[at].update_endpoints([make_endpoint(COLD, started=started)], False, self.at)

    def run(self, until, rate_factor=lambda at: 1.0):
        """GETs of a Poisson process, its rate scaled by `rate_factor`; completed GETs are reported in order."""
        while self.at < until:
            fraction = hash_fraction(self.seed, "gap", self.count)
            factor = rate_factor(self.at)
            self.at += int(S / self.rate / max(factor, 1e-9) * -_log(fraction)) if factor else 10 * MS
            while self.completions and self.completions[0][0] <= self.at:
                when, state, number, status = self.completions.pop(0)
                state.attempt_ended(number, AttemptOutcome.RETURNED, status, SERVICE, 0, {}, True, when)
            if factor:
                self.count += 1
                self.send_request()

    def send_request(self):
        front = self.fronts[bisect_left(self.shares, hash_fraction(self.seed, "front", self.count))]
        state = front.start_request(
            make_request(f"g{self.count}", obj=int(hash_fraction(self.seed, "of", self.count) ** 2 * 3000)),
            self.at,
        )
        for action in state.route(self.at):
            if isinstance(action, SendAttempt):
                if COLD in (action.cache, action.fill_source):
                    self.sent.append(self.at)
                self.completions.append((self.at + SERVICE, state, action.number, CacheStatus.HIT))

    def allowed_requests(self, at, started):
        """GETs that the settings allow in the window that ends at `at`: a share of what a warm cache completes."""
        share = min(1.0, 0.25 + 0.75 * max(0, at - started) / self.settings["warm_time"])
        return (
            self.settings["fall_multiple"] * share * self.rate / len(CACHES) * self.settings["fall_time"] / S
        )

    def worst_window(self, started):
        """(largest count in a window, largest excess over a window's bound, budget at the start)."""
        window, sent, worst_excess, largest_count = self.settings["fall_time"], self.sent, -99.0, 0
        for at, when in enumerate(sent):
            if when < started + self.settings["warm_time"]:
                in_window = at + 1 - bisect_left(sent, when - window + 1)
                allowed = self.allowed_requests(when, started)
                worst_excess, largest_count = (
                    max(worst_excess, in_window - allowed - 2 * sqrt(allowed) - 2),
                    max(largest_count, in_window),
                )
        return largest_count, worst_excess, self.allowed_requests(started, started)


def _log(fraction):
    from math import log

    return log(1 - fraction)


def steady_rate(at):
    return 1.0


def quiet_then_burst(at):
    """Three quiet seconds, then one at four times the rate: all saved-up tokens could be spent at once."""
    return 4.0 if (at - NOW) // S % 4 == 3 else 0.05


def simulate(count, rate, uneven, announcement_spread, rate_factor, multiple, seed):
    simulation = SimulatedFronts(count, rate, uneven, seed, fall_multiple=multiple)
    simulation.run(NOW + 6 * S)
    simulation.sent.clear()
    started = simulation.at
    # Fronts learn of the start at different times, and every third one learns of it again in the last round.
    for round_ in range(8):
        for at in range(count):
            if (
                int(hash_fraction(seed, "told", at) * 8 * announcement_spread) == round_
                or round_ == 7
                and at % 3 == 0
            ):
                simulation.announce_start(at, started)
        simulation.run(started + (round_ + 1) * S // 4, rate_factor)
    simulation.run(started + 10 * S, rate_factor)
    return simulation.worst_window(started)


@pytest.mark.parametrize("count", [3, 20, 30])
@pytest.mark.parametrize("rate, multiple", [(30, 4.0), (30, 2.0), (200, 4.0), (200, 2.0)])
@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("rate_factor", [steady_rate, quiet_then_burst])
def test_the_total_load_of_all_fronts_stays_within_the_limits_of_a_cold_cache(
    count, rate, multiple, uneven, rate_factor
):
    for seed in (1, 2):
        largest_count, excess, initially_allowed = simulate(
            count, rate, uneven, 0, rate_factor, multiple, seed
        )
        assert (
            excess <= 0
        ), f"seed {seed}: {largest_count} in one window, {excess:.1f} over; {initially_allowed:.1f} allowed at first"
