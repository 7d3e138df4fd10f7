"""The known members, and which of their updates are still to be disseminated."""

from typing import Any

from sprucegate.fleet.failure_detector.member import MEMBERS_MAX, Member, MemberState
from sprucegate.fleet.failure_detector.timing import DetectorTiming


class MemberList:
    """Known members by name, this front among them, and how often the update of each was sent.

    :ivar own: this front's record
    :ivar known: the records by name
    """

    def __init__(self, own: Member, timing: DetectorTiming) -> None:
        self.own = own
        self.known = {own.name: own}
        self._timing = timing
        self._transmissions: dict[str, int] = {}

    def reachable(self) -> list[Member]:
        """Return the other members that are alive or suspected, by name."""
        return [m for _, m in sorted(self.known.items()) if m.is_reachable and m.name != self.own.name]

    def size(self) -> int:
        """Return the count of reachable members, this front included."""
        return 1 + sum([m.is_reachable for m in self.known.values() if m.name != self.own.name])

    def all(self) -> list[Member]:
        """Return all known members by name."""
        return [m for _, m in sorted(self.known.items())]

    def put(self, member: Member) -> None:
        """Store a record and disseminate it."""
        self.known[member.name] = member
        self._transmissions[member.name] = 0

    def change_own(self, **changed: Any) -> None:
        """Change fields of this front's own record and disseminate it."""
        self.own = self.own._replace(**changed, reported_by=self.own.name)
        self.put(self.own)

    def rename_own(self, name: str) -> None:
        """Change the name of this front's own record; `change_own` then disseminates it."""
        self.known.pop(self.own.name, None)
        self.own = self.own._replace(name=name)

    def announce_own(self) -> None:
        """Disseminate this front's own record again."""
        self._transmissions[self.own.name] = 0

    def is_full(self) -> bool:
        """Tell whether a member has to be removed before a new one is added."""
        return len(self.known) >= MEMBERS_MAX

    def remove_unreachable(self) -> str | None:
        """Remove a member that left, else one that is dead; return its name, or None if there is none."""
        unreachable = [m for m in self.known.values() if m.state >= MemberState.DEAD]
        if not unreachable:
            return None
        name = min(unreachable, key=lambda m: (-m.state, m.incarnation)).name
        del self.known[name]
        return name

    def updates_for(self, receiver: str) -> list[Member]:
        """Return the updates to piggyback on a message: the receiver's own unless alive, then those sent least often.

        Lifeguard's buddy system: a suspected member is the first to learn that it is suspected. The receiver's own
        update is sent to it as well, so that another process of the same name learns of the later incarnation.
        """
        limit = self._timing.transmissions(self.size())
        for name in [name for name, times in self._transmissions.items() if times >= limit]:
            del self._transmissions[name]
        record = self.known.get(receiver)
        updates = [record] if record is not None and record.state != MemberState.ALIVE else []
        names = sorted(
            [name for name in self._transmissions if name in self.known],
            key=lambda name: (self._transmissions[name], name),
        )
        for name in names[: self._timing.updates_per_message - len(updates)]:
            self._transmissions[name] += 1
            updates.append(self.known[name])
        return updates
