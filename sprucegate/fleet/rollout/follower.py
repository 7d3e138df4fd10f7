"""What a front says to the log about boxes that go out and come back. No I/O, no clock."""

from sprucegate.fleet.rollout.permits import PermitStep

S = 1_000_000_000
AGAIN = S  # until a word that is not in the log is said anew


class FrontReporter:
    """What a front reports to the replicated log: that it drained a server, and that one is warm again."""

    def __init__(self, name, life):
        self.name, self.life, self.said, self.same = name, life, {}, False

    def due(self, machine, drained, warm, now):
        """Commands to propose. `drained`: boxes that this front sends nothing new and names no more as source;
        `warm(box, start)`: whether it sees that start answer and sends it its part."""
        found = []
        for permit in machine.permits.of_box.values():
            if (
                permit.step is PermitStep.GRANTED
                and permit.box in drained
                and self.name not in permit.drained
            ):
                found.append(["drained", permit.id, self.name, self.life])
            elif (
                permit.step is PermitStep.COLD
                and self.name not in permit.warm
                and warm(permit.box, permit.start)
            ):
                found.append(["warm", permit.id, permit.start, self.name, self.life])
        return self._fresh(found, now)

    def view(self, machine, boxes, limits, now):
        """Boxes and limits as this front's lists and file have them, said by the first of the live fronts alone."""
        permits, found, self.same = machine.permits, [], True
        if not permits.fronts or min(permits.fronts) != self.name:
            return []
        if limits != [[list(b) for b in permits.budgets], list(permits.warmth)]:
            found.append(["limits", *limits])
        out = permits.out()
        known = [list(b) for b in permits.boxes.values() if b.name not in out or b.name in boxes]
        if sorted(known) != sorted(map(list, boxes.values())):
            found.append(["boxes", [list(b) for b in boxes.values()]])
        self.same = not found  # in the log, not merely proposed
        return self._fresh(found, now)

    def _fresh(self, found, now):
        self.said = {key: at for key, at in self.said.items() if now - at < AGAIN}
        fresh = [c for c in found if repr(c) not in self.said]
        self.said.update((repr(c), now) for c in fresh)
        return fresh
