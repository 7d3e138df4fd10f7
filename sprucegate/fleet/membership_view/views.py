"""One view of the fleet from what members, links and the agreed log say. No I/O: (event, now) in, actions out.

What makes careful is acted on at once, what makes bold (a front that is live again, or new) once it has held for HOLD.
The numbers of views are this front's own; `agreed` is the log's entry that the view's reading of it rests on, 0 where
there is no log or this front is fenced from it: such a view is local.
"""

from typing import NamedTuple

from sprucegate.fleet.failure_detector.member import MEMBERS_MAX
from sprucegate.fleet.membership_view import careful
from sprucegate.fleet.membership_view.careful import FleetState
from sprucegate.fleet.membership_view.standing import HealthState, PeerHealth, ViewRow

MS, S = 1_000_000, 1_000_000_000
HOLD = 1 * S  # for which what makes bold has to hold
STILL = 1 * S  # after a stand-still: what came meanwhile is read by then
FORGET = 600 * S  # after which one that is gone no more counts as a part of the fleet
LATER = 1 << 62


class MembershipView(NamedTuple):
    number: int
    agreed: int
    state: FleetState
    share: float  # of the fleet's fronts that are with this one, itself counted
    rows: dict  # name -> Row, of the others

    def allows(self, action, name):
        row = self.rows.get(name)
        return row is not None and careful.allows(action, row.standing)

    def names(self, action):
        return sorted(name for name, row in self.rows.items() if careful.allows(action, row.standing))

    def allows_own(self, action):
        return careful.allows_own(action, self.state)


class ViewChanged(NamedTuple):
    """A new view; `changed`: names whose standing is another."""

    view: MembershipView
    changed: tuple


class ViewTracker:
    def __init__(self, now):
        self.known, self.rows, self.bolder = {}, {}, {}
        self.set, self.index, self.fenced = (
            None,
            0,
            True,
        )  # the log's fronts by life, None without one; since when
        self.still_until, self.returning, self.at = 0, True, now
        self.view = MembershipView(0, 0, FleetState.RETURNING, 1.0, {})

    # What happens: it is looked at by the next `due`, which is at once.

    def member(self, member, now):
        if member.name not in self.known and len(self.known) >= MEMBERS_MAX:
            return
        self.known.setdefault(member.name, PeerHealth()).told(member, now)
        self.at = now

    def forgotten(self, name):
        for table in (self.known, self.rows, self.bolder):
            table.pop(name, None)

    def heard(self, name, now):
        """Any frame that came from that front itself."""
        if (one := self.known.get(name)) is not None:
            one.heard_at = now
            if one.indirect or one.word is not HealthState.LIVE:
                one.indirect, self.at = 0, now

    def answered(self, name, direct, now):
        """A probe's answer came, from the front itself or by a helper alone."""
        if (one := self.known.get(name)) is not None:
            one.indirect = 0 if direct else one.indirect + 1
            self.at = now if one.indirect else self.at

    def other_build(self, name, now):
        if (one := self.known.get(name)) is not None:
            one.format, self.at = True, now

    def slept(self, now):
        self.still_until = self.at = now
        self.still_until += STILL

    def caught_up(self, now):
        self.returning, self.at = False, now

    def agreed(self, index, fronts, fenced, now):
        """What this front has of the log: its fronts, and whether the leader may count without this one."""
        if fronts != self.set or fenced != self.fenced:
            self.index = index if fronts != self.set else self.index
            self.set, self.fenced, self.at = dict(fronts), fenced, now

    # What is due.

    def next_due(self):
        return self.at

    def due(self, now):
        if now < self.at:
            return []
        log = self.set if self.set and not self.fenced else None
        changed, self.at = [], LATER
        for name, one in self.known.items():
            agreed = None if log is None else log.get(name) == one.life
            standing, by = one.reads(agreed, now)
            if self._stands(name, one, standing, by, now):
                changed.append(name)
            if (when := one.changes_at(agreed, now)) is not None:
                self.at = min(self.at, when)
        for name in [n for n, row in self.rows.items() if self._past(row, now)]:
            self.forgotten(name)
        state, share = self._own(now)
        if now < self.still_until:
            self.at = min(self.at, self.still_until)
        was, index = self.view, self.index if log is not None else 0
        if not changed and (was.state, was.share, was.agreed) == (state, share, index):
            return []
        self.view = MembershipView(was.number + 1, index, state, share, dict(self.rows))
        return [ViewChanged(self.view, tuple(changed))]

    def _stands(self, name, one, standing, by, now):
        """Whether its row is another now: at once for what makes careful, after HOLD for what makes bold."""
        row = self.rows.get(name)
        if standing is not HealthState.LIVE:
            self.bolder.pop(name, None)
        elif row is None or row.standing is not HealthState.LIVE:
            since = self.bolder.setdefault(name, now)
            if now - since < HOLD or now < self.still_until:
                self.at = min(self.at, max(since + HOLD, self.still_until))
                standing, by = (HealthState.SUSPECT, by) if row is None or row.life != one.life else row[:2]
            else:
                del self.bolder[name]
        if row is not None and (row.standing, row.life) == (standing, one.life):
            return False
        self.rows[name] = ViewRow(standing, by, now, one.life)
        return True

    def _past(self, row, now):
        gone = row.standing in (HealthState.GONE, HealthState.LEAVING)
        if gone and now - row.since < FORGET:
            self.at = min(self.at, row.since + FORGET)
        return gone and now - row.since >= FORGET

    def _own(self, now):
        """(state, share of the fleet's fronts)."""
        there = 1 + sum(careful.allows(careful.PeerAction.TELL, row.standing) for row in self.rows.values())
        total = 1 + sum(self._counts(name, row) for name, row in self.rows.items())
        share = there / max(there, total)
        if now < self.still_until:
            return FleetState.STOOD_STILL, share
        if self.returning:
            return FleetState.RETURNING, share
        if total > 1 and there == 1:
            return FleetState.ALONE, share
        return (FleetState.WHOLE if share == 1.0 else FleetState.PART), share

    def _counts(self, name, row):
        """One that left is no part any more, nor one that is gone and that the log has counted out."""
        out = self.set is not None and not self.fenced and name not in self.set
        return row.standing is not HealthState.LEAVING and not (row.standing is HealthState.GONE and out)
