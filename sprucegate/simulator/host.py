"""Host: batches of the simulator's protocol as calls on routers, and the routers' actions as lines."""

from collections.abc import Iterable
from typing import Any

from sprucegate.routing import actions, events
from sprucegate.routing.request import RequestState
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.simulator import codec
from sprucegate.simulator.settings import settings_from
from sprucegate.units import MICROSECOND


class Instance:
    """One router instance of the simulation.

    :ivar requests: states of requests that can still change, by id.
    :ivar timer_at: time of the timer that is set (ns), None for none.
    :ivar reply: lines for the batch at hand.
    """

    def __init__(self, number: int, settings: dict[str, Any], seed: int, now: int) -> None:
        self.number = number
        self.router = Router(RoutingSettings.from_mapping(settings), seed, now)
        self.requests: dict[str, RequestState] = {}
        self.timer_at: int | None = None
        self.reply: list[str] = []

    def set_timer(self, now: int) -> None:
        """Keep one timer, for the next deadline. A timer can't be unset: an older one is ignored when it ends."""
        deadline = self.router.next_deadline()
        if deadline is None or (self.timer_at is not None and self.timer_at <= max(deadline, now)):
            return
        # The protocol counts whole microseconds: rounded down, the timer would end before the deadline.
        delay = -(-(max(deadline, now) - now) // MICROSECOND)
        self.timer_at = now + delay * MICROSECOND
        self.reply.append(f"notify_me\ti={self.number}\tdelay={delay}\ttoken={self.timer_at}")

    def add_actions(self, state: RequestState | None, decided: Iterable[Any]) -> None:
        """Add actions to the reply; a request to which nothing more can happen is forgotten."""
        request_id = state.request.id if state is not None else None
        for action in decided:
            self.reply.append(self._line(request_id, action))
        if state is not None and state.is_settled():
            self.requests.pop(state.request.id, None)

    def _line(self, request_id: str | None, action: Any) -> str:
        instance = self.number
        match action:
            case actions.SendAttempt():
                line = codec.attempt_line(instance, request_id, action)
            case actions.RejectRequest():
                advice = f"\tretryAfter={action.retry_after // MICROSECOND}" if action.retry_after else ""
                line = f"not_now\ti={instance}\ttxn={request_id}{advice}"
            case actions.FailRequest():
                line = f"report_failure\ti={instance}\ttxn={request_id}"
            case actions.CancelAttempt():
                line = f"cancel\ti={instance}\ttxn={request_id}\tshot={action.number}"
            case actions.HealthCheck():
                line = f"check\ti={instance}\tcache={action.cache}"
            case actions.SendGossip():
                blob = action.payload.hex() or "-"
                line = f"broadcast_to\ti={instance}\tneighbourId={action.peer}\tblob={blob}"
            case actions.SubscribeToEndpoints():
                line = f"track\ti={instance}\ton=1"
        return line


class Host:
    """Keeps the instances of one process apart and turns batches into replies."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.handlers = {
            "targets": self._targets,
            "incoming": self._incoming,
            "response": self._response,
            "headers": self._headers,
            "left": self._left,
            "purged": self._purged,
            "wake": self._wake,
            "health": self._health,
            "note_from": self._note_from,
            "power_off": self._power_off,
        }

    def reply(self, now: int, lines: Iterable[codec.Line]) -> list[str]:
        """The lines that answer one batch, given those between its clock and its end.

        :raises MalformedLineError: for a line that cannot be read, or one of an unknown instance.
        """
        touched: dict[int, None] = {}
        remaining = iter(lines)
        for line in remaining:
            if line.name == "init":
                instance = line.integer("i")
                settings = settings_from(line.fields, line.fault)
                self.instances[instance] = Instance(instance, settings, line.integer("entropy"), now)
            elif line.name in self.handlers:
                instance = line.integer("i")
                if instance not in self.instances:
                    if line.name != "power_off":
                        raise line.fault(f"names instance {instance} before its init")
                    continue
                self.handlers[line.name](line, self.instances[instance], now, remaining)
            else:
                continue
            touched[instance] = None
        reply: list[str] = []
        for instance in touched:
            target = self.instances.get(instance)
            if target is not None:
                target.set_timer(now)
                reply += target.reply
                target.reply = []
        return reply

    def _targets(self, line, target, now, lines):
        entries = []
        for _ in range(line.integer("elements", 0)):
            entry = next(lines, None)
            if entry is None or entry.name != "cache":
                raise line.fault(f"announces more entries than the {len(entries)} that follow")
            entries.append(entry.endpoint())
        how = line.need("how")
        if how == "broken":
            target.router.endpoint_list_failed(now)
        elif how in ("patch", "whole", "stale_copy"):
            target.router.update_endpoints(entries, how != "patch", now)
        else:
            return
        self._timer_ended(target, now)

    def _timer_ended(self, target, now):
        for state, decided in target.router.on_timer(now):
            target.add_actions(state, decided)

    def _incoming(self, line, target, now, _lines):
        key = line.need("txn")
        state = target.router.start_request(
            events.Request(
                id=key,
                object=line.hexadecimal("resource", 0),
                part=line.integer("segment", 0),
                group=line.integer("batchId", -1),
                delivery_service=line.integer("grade", 0),
                size=int(line.number_of("volumeKb", 0.0)),
                write=line.flag("mutates"),
                repeat=line.flag("repeat"),
                ttl=line.time("ttl"),
            ),
            now,
        )
        target.requests[key] = state
        target.add_actions(state, state.route(now))

    def _response(self, line, target, now, _lines):
        key = line.need("txn")
        number, outcome = line.integer("shot"), line.choice("result", codec.OUTCOMES)
        spent, waited = line.time("spent", 0), line.time("fillWait", 0)
        found, load, done = line.cache_status(), line.load(), line.flag("finished")
        state = target.requests.get(key)
        if state is not None:
            decided = state.attempt_ended(number, outcome, found, spent, waited, load, done, now)
            target.add_actions(state, decided)

    def _headers(self, line, target, now, _lines):
        key, number = line.need("txn"), line.integer("shot")
        state = target.requests.get(key)
        if state is not None:
            target.add_actions(state, state.response_started(number, now))

    def _left(self, line, target, now, _lines):
        key = line.need("txn")
        state = target.requests.get(key)
        if state is not None:
            target.add_actions(state, state.client_disconnected(now))

    def _purged(self, line, target, now, _lines):
        target.router.invalidate(
            line.hexadecimal("resource", -1), line.integer("batchId", -1), line.time("copyAge", 0), now
        )

    def _wake(self, line, target, now, _lines):
        if line.need("token") == str(target.timer_at):
            target.timer_at = None
            self._timer_ended(target, now)

    def _health(self, line, target, now, _lines):
        target.router.receive_load_report(
            line.integer("cache"),
            line.choice("result", codec.OUTCOMES),
            line.time("spent", 0),
            line.load(),
            now,
        )

    def _note_from(self, line, target, now, _lines):
        target.router.receive_peer_message(line.integer("neighbour"), line.payload("blob"), now)

    def _power_off(self, _line, target, _now, _lines):
        del self.instances[target.number]
