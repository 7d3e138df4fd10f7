"""Host: turns batches of the simulator's protocol into router calls, and the routers' actions into lines."""

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

    :ivar requests: states of requests that are not settled, by id.
    :ivar timer_due_at: when the pending timer is due (ns), None if there is none.
    :ivar reply: output lines for the current batch.
    """

    def __init__(self, number: int, settings: dict[str, Any], seed: int, now: int) -> None:
        self.number = number
        self.router = Router(RoutingSettings.from_mapping(settings), seed, now)
        self.requests: dict[str, RequestState] = {}
        self.timer_due_at: int | None = None
        self.reply: list[str] = []

    def set_timer(self, now: int) -> None:
        """Set a timer for the next deadline if needed. Timers can't be cancelled: a superseded one is ignored."""
        deadline = self.router.next_deadline()
        if deadline is None or (self.timer_due_at is not None and self.timer_due_at <= max(deadline, now)):
            return
        # The protocol has whole microseconds. Rounded down, the timer would fire before the deadline.
        delay = -(-(max(deadline, now) - now) // MICROSECOND)
        self.timer_due_at = now + delay * MICROSECOND
        self.reply.append(f"notify_me\ti={self.number}\tdelay={delay}\ttoken={self.timer_due_at}")

    def add_actions(self, state: RequestState | None, decisions: Iterable[Any]) -> None:
        """Add actions to the reply, and remove the request if it is settled."""
        request_id = state.request.id if state is not None else None
        for action in decisions:
            self.reply.append(self._encode(request_id, action))
        if state is not None and state.is_settled():
            self.requests.pop(state.request.id, None)

    def _encode(self, request_id: str | None, action: Any) -> str:
        instance = self.number
        match action:
            case actions.SendAttempt():
                line = codec.attempt_line(instance, request_id, action)
            case actions.RejectRequest():
                retry_delay = (
                    f"\tretryAfter={action.retry_after // MICROSECOND}" if action.retry_after else ""
                )
                line = f"not_now\ti={instance}\ttxn={request_id}{retry_delay}"
            case actions.FailRequest():
                line = f"report_failure\ti={instance}\ttxn={request_id}"
            case actions.CancelAttempt():
                line = f"cancel\ti={instance}\ttxn={request_id}\tshot={action.number}"
            case actions.HealthCheck():
                line = f"check\ti={instance}\tcache={action.cache}"
            case actions.SendGossip():
                payload_hex = action.payload.hex() or "-"
                line = f"broadcast_to\ti={instance}\tneighbourId={action.peer}\tblob={payload_hex}"
            case actions.SubscribeToEndpoints():
                line = f"track\ti={instance}\ton=1"
        return line


class Host:
    """Dispatches batches to the router instances of one process and collects their replies."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.handlers = {
            "targets": self._endpoints_received,
            "incoming": self._request_received,
            "response": self._attempt_ended,
            "headers": self._response_started,
            "left": self._client_disconnected,
            "purged": self._object_purged,
            "wake": self._timer_message,
            "health": self._load_report_received,
            "note_from": self._peer_message_received,
            "power_off": self._instance_stopped,
        }

    def reply(self, now: int, lines: Iterable[codec.Line]) -> list[str]:
        """Handle the lines of one batch; returns the lines of its reply.

        :param now: the time of the batch (ns).
        :param lines: the lines between 'sync' and 'eob'.
        :raises MalformedLineError: for a malformed line or one that names an unknown instance.
        """
        updated: dict[int, None] = {}
        remaining = iter(lines)
        for line in remaining:
            if line.name == "init":
                number = line.integer("i")
                settings = settings_from(line.fields, line.error)
                self.instances[number] = Instance(number, settings, line.integer("entropy"), now)
            elif line.name in self.handlers:
                number = line.integer("i")
                if number not in self.instances:
                    if line.name != "power_off":
                        raise line.error(f"refers to instance {number}, which has no 'init' yet")
                    continue
                self.handlers[line.name](line, self.instances[number], now, remaining)
            else:
                continue
            updated[number] = None
        reply: list[str] = []
        for number in updated:
            instance = self.instances.get(number)
            if instance is not None:
                instance.set_timer(now)
                reply += instance.reply
                instance.reply = []
        return reply

    def _endpoints_received(self, line, instance, now, lines):
        entries = []
        for _ in range(line.integer("elements", 0)):
            entry = next(lines, None)
            if entry is None or entry.name != "cache":
                raise line.error(f"announces more entries than the {len(entries)} that follow")
            entries.append(entry.endpoint())
        kind = line.required("how")
        if kind == "broken":
            instance.router.endpoint_list_failed(now)
        elif kind in ("patch", "whole", "stale_copy"):
            instance.router.update_endpoints(entries, kind != "patch", now)
        else:
            return
        self._run_timer(instance, now)

    def _run_timer(self, instance, now):
        for state, decisions in instance.router.on_timer(now):
            instance.add_actions(state, decisions)

    def _request_received(self, line, instance, now, _lines):
        key = line.required("txn")
        state = instance.router.start_request(
            events.Request(
                id=key,
                object=line.hexadecimal("resource", 0),
                part=line.integer("segment", 0),
                group=line.integer("batchId", -1),
                delivery_service=line.integer("grade", 0),
                size=int(line.decimal("volumeKb", 0.0)),
                write=line.flag("mutates"),
                repeat=line.flag("repeat"),
                ttl=line.time("ttl"),
            ),
            now,
        )
        instance.requests[key] = state
        instance.add_actions(state, state.route(now))

    def _attempt_ended(self, line, instance, now, _lines):
        key = line.required("txn")
        number, outcome = line.integer("shot"), line.choice("result", codec.OUTCOMES)
        elapsed, fill_wait = line.time("spent", 0), line.time("fillWait", 0)
        status, load, finished = line.cache_status(), line.load(), line.flag("finished")
        state = instance.requests.get(key)
        if state is not None:
            decisions = state.attempt_ended(number, outcome, status, elapsed, fill_wait, load, finished, now)
            instance.add_actions(state, decisions)

    def _response_started(self, line, instance, now, _lines):
        key, number = line.required("txn"), line.integer("shot")
        state = instance.requests.get(key)
        if state is not None:
            instance.add_actions(state, state.response_started(number, now))

    def _client_disconnected(self, line, instance, now, _lines):
        key = line.required("txn")
        state = instance.requests.get(key)
        if state is not None:
            instance.add_actions(state, state.client_disconnected(now))

    def _object_purged(self, line, instance, now, _lines):
        instance.router.invalidate(
            line.hexadecimal("resource", -1), line.integer("batchId", -1), line.time("copyAge", 0), now
        )

    def _timer_message(self, line, instance, now, _lines):
        if line.required("token") == str(instance.timer_due_at):
            instance.timer_due_at = None
            self._run_timer(instance, now)

    def _load_report_received(self, line, instance, now, _lines):
        instance.router.receive_load_report(
            line.integer("cache"),
            line.choice("result", codec.OUTCOMES),
            line.time("spent", 0),
            line.load(),
            now,
        )

    def _peer_message_received(self, line, instance, now, _lines):
        instance.router.receive_peer_message(line.integer("neighbour"), line.payload("blob"), now)

    def _instance_stopped(self, _line, instance, _now, _lines):
        del self.instances[instance.number]
