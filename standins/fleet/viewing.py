"""Check the accuracy of membership views from the trace of a simulated fleet, and measure detection times.

python -m standins.fleet.viewing --seeds 200 --size 5 --loss 0.1
"""

import sys
from collections import defaultdict

from standins.fleet.schedules import play_schedule, run_seeds

MS, S = 1_000_000, 1_000_000_000
# After this time an ended process is live in no view, if the viewing front and a third one could check its port.
CRASH_DETECTION_TIME = 2 * S
PAUSE_DETECTION_TIME = 8 * S  # after this time no front has a paused process as live
REJOIN_TIME = 12 * S  # after this time no front has a process as gone that runs and reaches most fronts
LEFT_OUT = ("GONE",)


class Timeline:
    """A trace as time spans: when each front was up, paused and cut off, and the states of others in its view."""

    def __init__(self, trace):
        self.end = trace[-1][0] if trace else 0
        self.up, self.paused, self.cut, self.views, self.states = (defaultdict(list) for _ in range(5))
        cut, duplicated = set(), set()
        for at, name, what, *more in trace:
            match what:
                case "life":
                    # After a restored folder a front may take a new incarnation while it is up: no new span.
                    if not self.up[name] or self.up[name][-1][1] is not None:
                        self.up[name].append([at, None])
                case "crash":
                    self._end_span(self.up[name], at)
                    self._end_span(self.paused[name], at)
                    for (one, _), spans in self.views.items():
                        if one == name:
                            self._end_span(spans, at)
                    self._end_span(self.states[name], at)
                case "paused":
                    if not self.paused[name] or self.paused[name][-1][1] is not None:
                        self.paused[name].append([at, None])
                case "woken":
                    self._end_span(self.paused[name], at)
                case "cut":
                    now = {tuple(pair) for pair in more[0]}
                    for pair in now - cut:
                        self.cut[pair].append([at, None])
                    for pair in cut - now:
                        self._end_span(self.cut[pair], at)
                    cut = now
                case "view":
                    _, state, _, rows = more
                    self._end_span(self.states[name], at)
                    self.states[name].append([at, None, state])
                    for other, standing in rows.items():
                        spans = self.views[name, other]
                        if not spans or spans[-1][1] is not None or spans[-1][2] != standing:
                            self._end_span(spans, at)
                            spans.append([at, None, standing])
                    duplicated |= {other for other in rows if "~" in other}
        # For a name that two processes had there is no single true state.
        self.duplicated = {name for alias in duplicated for name in (alias, alias.partition("~")[0])}
        self.names = sorted(name for name in self.up if name)

    @staticmethod
    def _end_span(spans, at):
        if spans and spans[-1][1] is None:
            spans[-1][1] = at

    def closed(self, spans):
        return [(one[0], self.end if one[1] is None else one[1], *one[2:]) for one in spans]

    def down(self, name):
        spans = self.closed(self.up[name])
        return [(a[1], b[0]) for a, b in zip(spans, [*spans[1:], (self.end, 0)], strict=True) if b[0] > a[1]]

    def disturbed(self, one, other):
        """Return the spans in which one of the two was down, paused, or cut off from the other."""
        return [
            span[:2] for name in (one, other) for span in (*self.down(name), *self.closed(self.paused[name]))
        ] + [span[:2] for pair in ((one, other), (other, one)) for span in self.closed(self.cut[pair])]

    def undisturbed(self, one, other):
        """Return the spans in which both ran and were connected both ways."""
        at, found = self.up[one][0][0], []
        for begin, end in sorted([*self.disturbed(one, other), (self.end, self.end)]):
            if begin > at:
                found.append((at, begin))
            at = max(at, end)
        return found

    def could_be_confirmed(self, one, other, at):
        """Return whether a third front could confirm to `one` in time that `other`, which ended at `at`, is down."""
        until = at + CRASH_DETECTION_TIME
        for third in [name for name in self.names if name not in (one, other)]:
            cuts = [span for pair in ((third, other), (other, third)) for span in self.closed(self.cut[pair])]
            if any(a <= at and b >= until for a, b in self.undisturbed(one, third)) and not any(
                a < until and b > at for a, b in cuts
            ):
                return True
        return False


def intersections(spans, other, most):
    """Return the intersections of `spans` with `other` that are longer than `most`."""
    both = [(max(a[0], b[0]), min(a[1], b[1])) for a in spans for b in other]
    return [(begin, end) for begin, end in both if end - begin > most]


def live_though_away(trace):
    """A front that is down or paused is live in the view of no running front after the detection time."""
    timeline, found = Timeline(trace), []
    for one in timeline.names:
        own_outages = timeline.closed(timeline.paused[one]) + [(b, e) for b, e in timeline.down(one)]
        for other in timeline.names:
            if other == one or other in timeline.duplicated or one in timeline.duplicated:
                continue
            live = [span for span in timeline.closed(timeline.views[one, other]) if span[2] == "LIVE"]
            cuts = [
                span[:2]
                for pair in ((one, other), (other, one))
                for span in timeline.closed(timeline.cut[pair])
            ]
            for outages, most in (
                (timeline.down(other), CRASH_DETECTION_TIME),
                (timeline.closed(timeline.paused[other]), PAUSE_DETECTION_TIME),
            ):
                for begin, end in intersections(live, outages, most):
                    ended = max(a for a, *_ in outages if a <= begin)
                    if (
                        most == CRASH_DETECTION_TIME
                        and end - begin <= PAUSE_DETECTION_TIME
                        and not timeline.could_be_confirmed(one, other, ended)
                    ):
                        continue
                    # Counts only if the viewing front ran all the time and was not cut off from the other.
                    if not any(a < end and b > begin for a, b, *_ in own_outages + cuts):
                        found.append(
                            f"{one} has {other} as live from {begin} to {end}, while it was down or paused"
                        )
    return found


def gone_though_there(trace):
    """A running front that most can reach is gone for at most REJOIN_TIME in the view of one that can reach it."""
    timeline, found = Timeline(trace), []
    for one in timeline.names:
        for other in timeline.names:
            if other == one or other in timeline.duplicated or one in timeline.duplicated:
                continue
            gone = [span for span in timeline.closed(timeline.views[one, other]) if span[2] in LEFT_OUT]
            for begin, end in intersections(gone, timeline.undisturbed(one, other), REJOIN_TIME):
                heard = [
                    name
                    for name in timeline.names
                    if name != other
                    and any(a <= begin and b >= end for a, b in timeline.undisturbed(name, other))
                ]
                if 2 * (len(heard) + 1) > len(timeline.names):
                    found.append(
                        f"{one} has {other} as gone from {begin} to {end}, while {heard} could reach it"
                    )
    return found


def stays_in_part(trace):
    """After 15 s without faults the view of each running front has the state "whole"."""
    timeline, found = Timeline(trace), []
    for name in timeline.names:
        last = timeline.closed(timeline.states[name])[-1:]
        is_settled = all(
            timeline.undisturbed(name, other)[-1:]
            and timeline.undisturbed(name, other)[-1][0] < timeline.end - 15 * S
            for other in timeline.names
            if other != name
        )
        if is_settled and not timeline.duplicated and last and last[0][2] != "whole":
            found.append(f"{name} ends as {last[0][2]}")
    return found


ALL = (live_though_away, gone_though_there, stays_in_part)


def find_violations(trace):
    return [(check.__name__, text) for check in ALL for text in check(trace)]


def detection_times(trace):
    """Return {"killed": [ns ...], "silent": [ns ...]}: from each crash or pause to the end of LIVE in each view."""
    timeline, found = Timeline(trace), {"killed": [], "silent": []}
    for one in timeline.names:
        for other in timeline.names:
            if other == one or {one, other} & timeline.duplicated:
                continue
            live = [span for span in timeline.closed(timeline.views[one, other]) if span[2] == "LIVE"]
            for kind, outages in (
                ("killed", timeline.down(other)),
                ("silent", timeline.closed(timeline.paused[other])),
            ):
                for begin, end, *_ in outages:
                    seen = [span for span in live if span[0] <= begin < span[1]]
                    undisturbed = (
                        not any(a < seen[0][1] and b > begin for a, b in timeline.disturbed(one, one))
                        if seen
                        else False
                    )
                    cuts = [
                        span
                        for pair in ((one, other), (other, one))
                        for span in timeline.closed(timeline.cut[pair])
                    ]
                    if (
                        seen
                        and undisturbed
                        and seen[0][1] <= end
                        and not any(a < seen[0][1] and b > begin for a, b in cuts)
                    ):
                        found[kind].append(seen[0][1] - begin)
    return found


if __name__ == "__main__":
    sys.exit(
        run_seeds(
            sys.argv[1:],
            __doc__,
            lambda seed, wanted: find_violations(play_schedule(seed, wanted.size, wanted.loss).trace),
        )
    )
