"""What a front reports to the replicated log on boxes that go out and come back. No I/O, no clock."""

from sprucegate.fleet.rollout.permit import PermitStep

S = 1_000_000_000
RETRY_INTERVAL = S  # after which a command that has not been committed is proposed again


class FrontReporter:
    """What a front reports to the replicated log: that it drained a server, and that one is warm again.

    :ivar proposed: {command as text: when it was proposed}.
    :ivar matches_log: whether the log has this front's boxes and limits.
    """

    def __init__(self, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.proposed = {}
        self.matches_log = False

    def due(self, machine, drained, warm, now):
        """Return reports to propose.

        `drained`: boxes that this front sends nothing new and does not name as sources;
        `warm(box, start)`: whether that start answers this front at its full share of the load.
        """
        found = []
        for permit in machine.permits.open_by_box.values():
            if (
                permit.step is PermitStep.GRANTED
                and permit.box in drained
                and self.name not in permit.drained
            ):
                found.append(["drained", permit.id, self.name, self.incarnation])
            elif (
                permit.step is PermitStep.COLD
                and self.name not in permit.warm
                and warm(permit.box, permit.start)
            ):
                found.append(["warm", permit.id, permit.start, self.name, self.incarnation])
        return self._not_pending(found, now)

    def list_changes(self, machine, boxes, limits, now):
        """Return commands that bring the log's boxes and limits up to date with this front's lists and file.

        Only the first live front by name proposes them.
        """
        permits, found, self.matches_log = machine.permits, [], True
        if not permits.fronts or min(permits.fronts) != self.name:
            return []
        if limits != [[list(b) for b in permits.budgets], list(permits.capacity)]:
            found.append(["limits", *limits])
        out = permits.out()
        known = [list(b) for b in permits.boxes.values() if b.name not in out or b.name in boxes]
        if sorted(known) != sorted(map(list, boxes.values())):
            found.append(["boxes", [list(b) for b in boxes.values()]])
        self.matches_log = not found  # by what is committed, not by what is proposed
        return self._not_pending(found, now)

    def _not_pending(self, commands, now):
        """Return the commands that were not proposed within RETRY_INTERVAL, and note them as proposed."""
        self.proposed = {key: at for key, at in self.proposed.items() if now - at < RETRY_INTERVAL}
        fresh = [c for c in commands if repr(c) not in self.proposed]
        self.proposed.update((repr(c), now) for c in fresh)
        return fresh
