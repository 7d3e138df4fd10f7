"""Runtime checks of a front's invariants: each violation is counted and logged with its ids, and changes nothing.

A violation is a bug. The rules are enforced elsewhere (`upstream/sending.py`, `client_connections.TRANSITIONS`,
`ResponseWriter.respond`); this module checks the outcome independently of that code. A non-zero count in the log's
`second` lines is to be reported together with the lines around it.
"""

from sprucegate.front.client_connections import ConnectionState
from sprucegate.front.limited_log import LimitedLog
from sprucegate.units import MILLISECOND as MS

# Tolerances: what is later than this is a violation.
SEND_AFTER_DISCONNECT_TOLERANCE = 100 * MS  # from the client's disconnect to the first byte of an attempt
LATE_RESPONSE_TOLERANCE = (
    500 * MS
)  # from the client's deadline to the response, which counts as none after that
ATTEMPT_DEADLINE_TOLERANCE = 150 * MS  # from the client's deadline to the deadline of an attempt
UNAVAILABLE_SERVERS_MAX = 10_000  # draining or removed servers that are remembered
LOGGED_PER_SECOND_MAX = 20  # violations logged in one second; all are counted


class Invariants:
    """Checks what a front does. `count(name)` adds one to a counter; `log(event, **fields)` writes a line.

    :ivar effects: the effect of a repeated execution, by delivery service; "idempotent" where not set
    :ivar most_attempts: upper bound of attempts of a request
    :ivar unavailable_servers: ids of servers that the last lists named as draining or removed, the latest last; one
        that a complete list omits isn't among them
    """

    def __init__(self, settings, count, log):
        self.effects = settings.get("effect") or ()
        self.most_attempts = settings.get("max_forwards", 1 << 30)
        self.count = count
        self.log = LimitedLog(log, LOGGED_PER_SECOND_MAX)
        self.unavailable_servers = {}

    def start_second(self):
        """Allow the next lines on violations; called once a second."""
        self.log.start_second()

    def record_endpoint_list(self, serving, named, whole):
        """Record an endpoint list: ids of serving servers, ids that it names, and whether it is complete."""
        unavailable = {} if whole else self.unavailable_servers
        for at in serving:
            unavailable.pop(at, None)
        unavailable.update(dict.fromkeys(named - serving))
        while len(unavailable) > UNAVAILABLE_SERVERS_MAX:
            del unavailable[next(iter(unavailable))]
        self.unavailable_servers = unavailable

    def report_violation(self, rule, request, **fields):
        """Count a violation of a rule by a request, and log it with the request's trace."""
        self.count(f"invariant_violations {rule}")
        self.log(
            "invariant_broken",
            rule=rule,
            id=request.id.decode("latin-1"),
            story=[f"{at // MS} {event}" for at, event in request.trace],
            **fields,
        )

    # Checks.

    def check_attempt(self, attempt, now):
        """Check an attempt whose first byte was just sent."""
        request = attempt.request
        request.trace.append((now, f"attempt {attempt.number} sent"))
        fields = {"attempt": attempt.number, "server": attempt.cache}
        if request.answered:
            self.report_violation("attempt_after_answer", request, **fields)
        if (
            request.client_left_at is not None
            and now - request.client_left_at > SEND_AFTER_DISCONNECT_TOLERANCE
        ):
            self.report_violation("attempt_after_client_left", request, **fields)
        if request.client is not None and request.client.state not in (
            ConnectionState.REQUEST_IN_PROGRESS,
            ConnectionState.CLOSED,
        ):
            self.report_violation(
                "attempt_without_request", request, phase=request.client.state.name, **fields
            )
        if self.unavailable_servers and (
            attempt.cache in self.unavailable_servers or attempt.source in self.unavailable_servers
        ):
            self.report_violation("attempt_to_draining", request, source=attempt.source, **fields)
        if attempt.deadline > request.client_deadline + ATTEMPT_DEADLINE_TOLERANCE:
            self.report_violation("wait_over_patience", request, **fields)
        if attempt.number >= self.most_attempts:
            self.report_violation("attempts_over_cap", request, **fields)
        if attempt.number and self._may_have_run(request, attempt) and self._effect(request) != "idempotent":
            self.report_violation("repeated_while_it_may_have_run", request, **fields)

    def check_response(self, request, status, named, now):
        """Check a response that is about to be written; `named`: not a 304, or one with the client's entity tag."""
        request.trace.append((now, f"answered {status}"))
        if now - request.client_deadline > LATE_RESPONSE_TOLERANCE:
            self.report_violation(
                "answered_late", request, status=status, late_ms=(now - request.client_deadline) // MS
            )
        if not named:
            self.report_violation("not_modified_unnamed", request)

    def check_forgotten(self, request):
        """Check a request that is no longer tracked."""
        if not request.answered:
            self.report_violation("never_answered", request)

    def check_close(self, client, why):
        """Check a client connection that this side closes for a reason ("peer": the client closed it)."""
        if (
            client.state is ConnectionState.REQUEST_IN_PROGRESS
            and why != "peer"
            and client.open_request is not None
            and not client.peer_has_closed()
        ):
            self.report_violation("closed_over_request", client.open_request, why=why)

    def check_no_leaks(self, gets, ids, buffers):
        """Check that without open requests no ids and no buffers are in use."""
        if not gets and (ids or buffers):
            self.count("invariant_violations left_over")
            self.log("invariant_broken", rule="left_over", ids=ids, buffers=buffers)

    def _effect(self, request):
        ds = request.routing_request.delivery_service
        return self.effects[ds] if ds < len(self.effects) and self.effects[ds] is not None else "idempotent"

    @staticmethod
    def _may_have_run(request, attempt):
        return any(
            number < attempt.number and (not earlier.ended or earlier.may_have_run)
            for number, earlier in request.attempts.items()
        )
