"""Batches of the wire as calls on routers, one a front, and their results as actions."""

from sprucegate.routing import actions, events
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.simulator import codec
from sprucegate.simulator.settings import settings_from


class Front:
    """One instance: its router, the GETs that still await something, its timer and its part of the reply."""

    def __init__(self, instance, settings, seed, now):
        self.instance = instance
        self.router = Router(RoutingSettings.from_mapping(settings), seed, now)
        self.gets = {}
        self.armed = None
        self.out = []

    def arm(self, now):
        """Keep one timer, for the next due time. The wire has no un-setting: an older one is passed over."""
        due = self.router.next_deadline()
        if due is None or (self.armed is not None and self.armed <= max(due, now)):
            return
        # The wire counts whole microseconds: rounding down would wake the router before it is due.
        delay = -(-(max(due, now) - now) // 1000)
        self.armed = now + delay * 1000
        self.out.append(f"notify_me\ti={self.instance}\tdelay={delay}\ttoken={self.armed}")

    def say(self, handle, decided):
        """Encode what was decided; a GET of which nothing more can come is let go."""
        instance = self.instance
        key = handle.request.id if handle is not None else None
        for one in decided:
            match one:
                case actions.SendAttempt():
                    line = codec.forward_line(instance, key, one)
                case actions.RejectRequest():
                    advice = f"\tretryAfter={one.retry_after // 1000}" if one.retry_after else ""
                    line = f"not_now\ti={instance}\ttxn={key}{advice}"
                case actions.FailRequest():
                    line = f"report_failure\ti={instance}\ttxn={key}"
                case actions.CancelAttempt():
                    line = f"cancel\ti={instance}\ttxn={key}\tshot={one.number}"
                case actions.HealthCheck():
                    line = f"check\ti={instance}\tcache={one.cache}"
                case actions.SendGossip():
                    blob = one.payload.hex() or "-"
                    line = f"broadcast_to\ti={instance}\tneighbourId={one.peer}\tblob={blob}"
                case actions.SubscribeToEndpoints():
                    line = f"track\ti={instance}\ton=1"
            self.out.append(line)
        if handle is not None and handle.is_settled():
            self.gets.pop(key, None)


class Host:
    """Keeps the fronts of one process apart and turns batches into replies."""

    def __init__(self):
        self.fronts = {}
        self.calls = {
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

    def reply(self, now, lines):
        """The actions for one batch, given the lines between its clock and its end."""
        touched = {}
        lines = iter(lines)
        for line in lines:
            if line.name == "init":
                instance = line.integer("i")
                settings = settings_from(line.fields, line.fault)
                self.fronts[instance] = Front(instance, settings, line.integer("entropy"), now)
            elif line.name in self.calls:
                instance = line.integer("i")
                if instance not in self.fronts:
                    if line.name != "power_off":
                        raise line.fault(f"names instance {instance} before its init")
                    continue
                self.calls[line.name](line, self.fronts[instance], now, lines)
            else:
                continue
            touched[instance] = None
        out = []
        for instance in touched:
            front = self.fronts.get(instance)
            if front is not None:
                front.arm(now)
                out += front.out
                front.out = []
        return out

    def _targets(self, line, front, now, lines):
        entries = []
        for _ in range(line.integer("elements", 0)):
            entry = next(lines, None)
            if entry is None or entry.name != "cache":
                raise line.fault(f"announces more entries than the {len(entries)} that follow")
            entries.append(entry.listed())
        how = line.need("how")
        if how == "broken":
            front.router.endpoint_list_failed(now)
        elif how in ("patch", "whole", "stale_copy"):
            front.router.update_endpoints(entries, how != "patch", now)
        else:
            return
        self._due(front, now)

    def _due(self, front, now):
        for handle, decided in front.router.on_timer(now):
            front.say(handle, decided)

    def _incoming(self, line, front, now, _lines):
        key = line.need("txn")
        handle = front.router.start_request(
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
        front.gets[key] = handle
        front.say(handle, handle.route(now))

    def _response(self, line, front, now, _lines):
        key = line.need("txn")
        number, outcome = line.integer("shot"), line.choice("result", codec.OUTCOMES)
        spent, waited = line.time("spent", 0), line.time("fillWait", 0)
        found, load, done = line.found(), line.load(), line.flag("finished")
        handle = front.gets.get(key)
        if handle is not None:
            decided = handle.attempt_ended(number, outcome, found, spent, waited, load, done, now)
            front.say(handle, decided)

    def _headers(self, line, front, now, _lines):
        key, number = line.need("txn"), line.integer("shot")
        handle = front.gets.get(key)
        if handle is not None:
            front.say(handle, handle.response_started(number, now))

    def _left(self, line, front, now, _lines):
        key = line.need("txn")
        handle = front.gets.get(key)
        if handle is not None:
            front.say(handle, handle.client_disconnected(now))

    def _purged(self, line, front, now, _lines):
        front.router.invalidate(
            line.hexadecimal("resource", -1), line.integer("batchId", -1), line.time("copyAge", 0), now
        )

    def _wake(self, line, front, now, _lines):
        if line.need("token") == str(front.armed):
            front.armed = None
            self._due(front, now)

    def _health(self, line, front, now, _lines):
        front.router.receive_load_report(
            line.integer("cache"),
            line.choice("result", codec.OUTCOMES),
            line.time("spent", 0),
            line.load(),
            now,
        )

    def _note_from(self, line, front, now, _lines):
        front.router.receive_peer_message(line.integer("neighbour"), line.payload("blob"), now)

    def _power_off(self, _line, front, _now, _lines):
        del self.fronts[front.instance]
