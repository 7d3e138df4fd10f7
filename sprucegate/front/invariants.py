"""Invariants of a front, checked as it runs: each violation is counted and logged with its ids, and changes nothing.

A violation is a fault of the program. The rules are kept elsewhere (`upstream/sending.py`,
`client_connections.TRANSITIONS`, `ResponseWriter.answer`); this module checks the outcome independently of how they
decide. A count other than 0 in the log's `second` lines is to be reported with the lines around it.
"""

from sprucegate.front.client_connections import ConnectionState
from sprucegate.units import MILLISECOND as MS

GONE_LATE = 100 * MS  # an attempt that begins so long after its client went counts as a lost request
ANSWER_LATE = 500 * MS  # an answer so long after its time counts as none
WAIT_SLACK = 150 * MS  # by which the wait told to a server may be over what its client has left
REMEMBERED = 10_000  # servers that drain or have gone
LOGGED = 20  # breaches logged in one second; all are counted


class Invariants:
    """Checks what a front does. `count(name)` adds one to a counter; `log(event, **fields)` writes a line.

    :ivar effects: the effect of a request that runs twice, by delivery service; "idempotent" where not set
    :ivar most_attempts: most attempts of a request
    :ivar logged: violations logged in this second
    :ivar closed_to: ids of servers that the last lists named as draining or gone, the latest last; one that a
        complete list omits isn't among them
    """

    def __init__(self, settings, count, log):
        self.effects = settings.get("effect") or ()
        self.most_attempts = settings.get("max_forwards", 1 << 30)
        self.count = count
        self.log = log
        self.logged = 0
        self.closed_to = {}

    def second(self):
        """Start another second, with a new allowance of logged violations; called once a second."""
        self.logged = 0

    def listed(self, serves, named, whole):
        """Record an endpoint list: ids of the servers that serve, ids that it names, and whether it is complete."""
        closed = {} if whole else self.closed_to
        for at in serves:
            closed.pop(at, None)
        closed.update(dict.fromkeys(named - serves))
        while len(closed) > REMEMBERED:
            del closed[next(iter(closed))]
        self.closed_to = closed

    def broken(self, rule, get, **fields):
        """Count a violation of a rule by a request, and log it with the request's events."""
        self.count(f"invariant_violations {rule}")
        self.logged += 1
        if self.logged <= LOGGED:
            self.log(
                "invariant_broken",
                rule=rule,
                id=get.id.decode("latin-1"),
                story=[f"{at // MS} {what}" for at, what in get.story],
                **fields,
            )

    # What is checked.

    def began(self, out, now):
        """Check an attempt whose first byte was just sent."""
        get = out.get
        get.story.append((now, f"attempt {out.number} sent"))
        attempt = {"attempt": out.number, "server": out.cache}
        if get.answered:
            self.broken("attempt_after_answer", get, **attempt)
        if get.left_at is not None and now - get.left_at > GONE_LATE:
            self.broken("attempt_after_client_left", get, **attempt)
        if get.client is not None and get.client.state not in (
            ConnectionState.REQUEST_IN_PROGRESS,
            ConnectionState.CLOSED,
        ):
            self.broken("attempt_without_request", get, phase=get.client.state.name, **attempt)
        if self.closed_to and (out.cache in self.closed_to or out.source in self.closed_to):
            self.broken("attempt_to_draining", get, source=out.source, **attempt)
        if out.limit > get.until + WAIT_SLACK:
            self.broken("wait_over_patience", get, **attempt)
        if out.number >= self.most_attempts:
            self.broken("attempts_over_cap", get, **attempt)
        if out.number and self._may_have_run(get, out) and self._effect(get) != "idempotent":
            self.broken("repeated_while_it_may_have_run", get, **attempt)

    def answered(self, get, status, named, now):
        """Check a response that is about to be written; `named`: not a 304, or one with the client's entity tag."""
        get.story.append((now, f"answered {status}"))
        if now - get.until > ANSWER_LATE:
            self.broken("answered_late", get, status=status, late_ms=(now - get.until) // MS)
        if not named:
            self.broken("not_modified_unnamed", get)

    def forgotten(self, get):
        """Check a request that is no longer tracked."""
        if not get.answered:
            self.broken("never_answered", get)

    def closed(self, client, why):
        """Check a client connection that this side closes for a reason ("peer": the client closed it)."""
        if (
            client.state is ConnectionState.REQUEST_IN_PROGRESS
            and why != "peer"
            and client.get is not None
            and not client.peer_has_closed()
        ):
            self.broken("closed_over_request", client.get, why=why)

    def quiet(self, gets, ids, buffers):
        """Check that without open requests no ids and no buffers are in use."""
        if not gets and (ids or buffers):
            self.count("invariant_violations left_over")
            self.log("invariant_broken", rule="left_over", ids=ids, buffers=buffers)

    def _effect(self, get):
        ds = get.asked.delivery_service
        return self.effects[ds] if ds < len(self.effects) and self.effects[ds] is not None else "idempotent"

    @staticmethod
    def _may_have_run(get, out):
        return any(
            number < out.number and (not one.ended or one.may_have_run)
            for number, one in get.forwards.items()
        )
