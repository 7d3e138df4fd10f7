"""Whether views are true: checkers that read the trace of a simulated fleet alone, and the times that views took.

python -m standins.fleet.viewing --seeds 200 --size 5 --loss 0.1
"""

import sys
from collections import defaultdict

from standins.fleet.schedules import played, reported

MS, S = 1_000_000, 1_000_000_000
KILLED = 2 * S  # after which an ended process is live in no view of one that could look, as could a third
SILENT = 8 * S  # and one that stands still
BACK = 12 * S  # after which one that is there and reached by most is gone in no view
LEFT_OUT = ("GONE",)


class Story:
    """A trace as spans: when each front was up, standing still and cut off, and what each view said of each other."""

    def __init__(self, trace):
        self.end = trace[-1][0] if trace else 0
        self.up, self.still, self.cut, self.said, self.states = (defaultdict(list) for _ in range(5))
        cut, doubled = set(), set()
        for at, name, what, *more in trace:
            match what:
                case "life":
                    # A folder that was put back makes a front another life while it is up: no new span.
                    if not self.up[name] or self.up[name][-1][1] is not None:
                        self.up[name].append([at, None])
                case "crash":
                    self._ends(self.up[name], at)
                    self._ends(self.still[name], at)
                    for (one, _), spans in self.said.items():
                        if one == name:
                            self._ends(spans, at)
                    self._ends(self.states[name], at)
                case "paused":
                    if not self.still[name] or self.still[name][-1][1] is not None:
                        self.still[name].append([at, None])
                case "woken":
                    self._ends(self.still[name], at)
                case "cut":
                    now = {tuple(pair) for pair in more[0]}
                    for pair in now - cut:
                        self.cut[pair].append([at, None])
                    for pair in cut - now:
                        self._ends(self.cut[pair], at)
                    cut = now
                case "view":
                    _, state, _, rows = more
                    self._ends(self.states[name], at)
                    self.states[name].append([at, None, state])
                    for other, standing in rows.items():
                        spans = self.said[name, other]
                        if not spans or spans[-1][1] is not None or spans[-1][2] != standing:
                            self._ends(spans, at)
                            spans.append([at, None, standing])
                    doubled |= {other for other in rows if "~" in other}
        # Of names that two processes bore no one truth can be told.
        self.doubled = {name for twin in doubled for name in (twin, twin.partition("~")[0])}
        self.names = sorted(name for name in self.up if name)

    @staticmethod
    def _ends(spans, at):
        if spans and spans[-1][1] is None:
            spans[-1][1] = at

    def whole(self, spans):
        return [(one[0], self.end if one[1] is None else one[1], *one[2:]) for one in spans]

    def down(self, name):
        spans = self.whole(self.up[name])
        return [(a[1], b[0]) for a, b in zip(spans, [*spans[1:], (self.end, 0)], strict=True) if b[0] > a[1]]

    def troubled(self, one, other):
        """Spans in which one of the two was not there, stood still, or did not hear the other."""
        return [
            span[:2] for name in (one, other) for span in (*self.down(name), *self.whole(self.still[name]))
        ] + [span[:2] for pair in ((one, other), (other, one)) for span in self.whole(self.cut[pair])]

    def calm(self, one, other):
        """Spans in which both were there and heard each other."""
        at, found = self.up[one][0][0], []
        for begin, end in sorted([*self.troubled(one, other), (self.end, self.end)]):
            if begin > at:
                found.append((at, begin))
            at = max(at, end)
        return found

    def confirmed(self, one, other, at):
        """Whether a third front could tell `one` in time that the process of `other`, ended then, is over."""
        until = at + KILLED
        for third in [name for name in self.names if name not in (one, other)]:
            cuts = [span for pair in ((third, other), (other, third)) for span in self.whole(self.cut[pair])]
            if any(a <= at and b >= until for a, b in self.calm(one, third)) and not any(
                a < until and b > at for a, b in cuts
            ):
                return True
        return False


def within(spans, other, most):
    """Parts of `spans` inside one of `other` that last longer than `most` from the later beginning on."""
    both = [(max(a[0], b[0]), min(a[1], b[1])) for a in spans for b in other]
    return [(begin, end) for begin, end in both if end - begin > most]


def live_though_away(trace):
    """One that ended, or stands still, is live in no view of a front that is there, after its time."""
    story, found = Story(trace), []
    for one in story.names:
        mine = story.whole(story.still[one]) + [(b, e) for b, e in story.down(one)]
        for other in story.names:
            if other == one or other in story.doubled or one in story.doubled:
                continue
            live = [span for span in story.whole(story.said[one, other]) if span[2] == "LIVE"]
            cuts = [
                span[:2] for pair in ((one, other), (other, one)) for span in story.whole(story.cut[pair])
            ]
            for away, most in ((story.down(other), KILLED), (story.whole(story.still[other]), SILENT)):
                for begin, end in within(live, away, most):
                    ended = max(a for a, *_ in away if a <= begin)
                    if most == KILLED and end - begin <= SILENT and not story.confirmed(one, other, ended):
                        continue
                    # Only where the viewer itself was there all the time, and not cut off from the other.
                    if not any(a < end and b > begin for a, b, *_ in mine + cuts):
                        found.append(
                            f"{one} has {other} as live from {begin} to {end}, when it was not there"
                        )
    return found


def gone_though_there(trace):
    """One that is there and heard by most is not gone, for longer than its time, in the view of one that hears it."""
    story, found = Story(trace), []
    for one in story.names:
        for other in story.names:
            if other == one or other in story.doubled or one in story.doubled:
                continue
            gone = [span for span in story.whole(story.said[one, other]) if span[2] in LEFT_OUT]
            for begin, end in within(gone, story.calm(one, other), BACK):
                heard = [
                    name
                    for name in story.names
                    if name != other and any(a <= begin and b >= end for a, b in story.calm(name, other))
                ]
                if 2 * (len(heard) + 1) > len(story.names):
                    found.append(
                        f"{one} has {other} as gone from {begin} to {end}, with {heard} in reach of it"
                    )
    return found


def stays_in_part(trace):
    """Once all is well for long, each front that is there has the whole fleet."""
    story, found = Story(trace), []
    for name in story.names:
        last = story.whole(story.states[name])[-1:]
        well = all(
            story.calm(name, other)[-1:] and story.calm(name, other)[-1][0] < story.end - 15 * S
            for other in story.names
            if other != name
        )
        if well and not story.doubled and last and last[0][2] != "whole":
            found.append(f"{name} ends as {last[0][2]}")
    return found


ALL = (live_though_away, gone_though_there, stays_in_part)


def broken(trace):
    return [(check.__name__, text) for check in ALL for text in check(trace)]


def detected(trace):
    """{"killed": [ns ...], "silent": [ns ...]}: from the truth to each other front's no longer having it as live."""
    story, found = Story(trace), {"killed": [], "silent": []}
    for one in story.names:
        for other in story.names:
            if other == one or {one, other} & story.doubled:
                continue
            live = [span for span in story.whole(story.said[one, other]) if span[2] == "LIVE"]
            for kind, away in (("killed", story.down(other)), ("silent", story.whole(story.still[other]))):
                for begin, end, *_ in away:
                    seen = [span for span in live if span[0] <= begin < span[1]]
                    calm = (
                        not any(a < seen[0][1] and b > begin for a, b in story.troubled(one, one))
                        if seen
                        else False
                    )
                    cuts = [
                        span for pair in ((one, other), (other, one)) for span in story.whole(story.cut[pair])
                    ]
                    if (
                        seen
                        and calm
                        and seen[0][1] <= end
                        and not any(a < seen[0][1] and b > begin for a, b in cuts)
                    ):
                        found[kind].append(seen[0][1] - begin)
    return found


if __name__ == "__main__":
    sys.exit(
        reported(
            sys.argv[1:], __doc__, lambda seed, wanted: broken(played(seed, wanted.size, wanted.loss).trace)
        )
    )
