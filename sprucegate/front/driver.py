"""The driver: what happens becomes calls on the Router, what it decides becomes actions."""

import asyncio
import heapq
import traceback
from itertools import count

from sprucegate import clock as system
from sprucegate.front.admission import LIVE, admit
from sprucegate.front.counters import Counters
from sprucegate.front.invariants import Invariants
from sprucegate.front.open_requests import OpenAttempt
from sprucegate.front.protocol.http import RejectedRequest, tagged
from sprucegate.front.response_cache import CachedResponse, ResponseCache
from sprucegate.front.response_writer import ResponseWriter
from sprucegate.routing.actions import AwaitSlot, CancelAttempt, FailRequest, RejectRequest, SendAttempt
from sprucegate.routing.events import AttemptOutcome, CacheStatus, EndpointState
from sprucegate.routing.response_cache import RESPONSE_CACHE_BYTES
from sprucegate.routing.router import Router
from sprucegate.routing.settings import RoutingSettings
from sprucegate.upstream.hosts import EndpointList
from sprucegate.upstream.sending import Sending
from sprucegate.upstream.servers import UpstreamServers

MS = 1_000_000
COMPACTED = 128  # entries of the heap of time-outs from which those that are over are let go
AGAIN = 50 * MS  # until a timer is tried again that could not be worked out


class Driver:
    """Drives the router: passes on what happens, performs the actions that it returns, and keeps its timer."""

    def __init__(self, wanted, pool, log, clock=system.now):
        self.wanted, self.log, self.clock, self.loop = wanted, log, clock, asyncio.get_running_loop()
        self.platform = system.PlatformTime()
        self.router = Router(RoutingSettings.from_mapping(wanted.settings), wanted.seed, clock())
        self.relay, self.book, self.ready, self.aside = ResponseWriter(self), Counters(), False, False
        self.invariants = Invariants(wanted.settings, self.book.count, log)
        self.sending = Sending(self.book.count, self.invariants.began)
        self.servers = UpstreamServers(self, pool, wanted.settings, wanted.descriptors // 3, wanted.servers)
        self.most = wanted.settings.get("max_open", 1 << 30)
        self.open, self.ids, self.limits, self.order = {}, {}, [], count()
        self.compacts_at = COMPACTED
        self.timer, self.armed, self.membership, self.fleet = None, None, None, None
        self.places = None  # who shares out places for slow fills; None: each starts at once
        self.copies = ResponseCache(
            min(RESPONSE_CACHE_BYTES, int(wanted.memory_mb * 2**20) // 3), wanted.link
        )

    # What happens.

    def request(self, client, request, at):
        """Take a whole request; `at` is when its last byte came (monotonic ns)."""
        now = self.clock()
        if request.target == LIVE:
            up = self.ready and not self.aside and not self.relay.ending
            self.relay.write(client, 200 if up else 503, b"\n")
            return
        try:
            get = admit(client, request, self.wanted.ds_names, self.wanted.settings, self.ids, now - at)
        except Exception as fault:
            self.fault(fault)
            get = RejectedRequest(500, "this request could not be read")
        if isinstance(get, RejectedRequest):
            self.book.count("bad_requests")
            self.relay.refuse(client, get)
            return
        client.get, self.ids[get.id], get.until = get, get, now + max(0, get.asked.ttl)
        get.story.append((now, "read"))
        if self.places is not None:
            get.tenant = self.places.tenant_index(request.headers)
        if len(self.open) >= self.most:
            self.book.count("shed_over_bound")
            get.handle = self.router.start_request(get.asked, now)
            self.guarded(get, self.say, get, get.handle.give_up(now), now)
            return
        self.guarded(get, self._taken, get, now)

    def _taken(self, get, now):
        if self._own(get, now):
            return self.forget(get)
        get.handle = self.router.start_request(get.asked, now)
        decided = get.handle.route(now)
        self.open[get.handle] = get
        self.say(get, decided, now)

    def _own(self, get, now):
        """Answers from a copy of the front's own, where it has one and the module lets it."""
        key = get.ds, get.thing, get.part
        copy = self.copies.find(key)
        if (
            copy is None
            or get.asked.write
            or not self.router.may_serve_stored_response(
                get.asked, copy.made, copy.since, self.copies.wait(now), now
            )
        ):
            return False
        same = copy.tag and get.have == copy.tag
        self.copies.sent(key, len(copy.body) // 20 if same else len(copy.body), now)
        self.relay.answer(get, 304 if same else 200, b"" if same else copy.body, tagged(copy.tag))
        self.book.count("gets_own")
        return True

    def ended(self, out, outcome, found, waited, load, at=None):
        """`at` where several end at once: told one by one, they would be as many bad ends of a server."""
        if not out.ended:
            self.guarded(out.get, self._ended, out, outcome, found, waited, load, at)

    def _ended(self, out, outcome, found, waited, load, at):
        now, get = at or self.clock(), out.get
        out.ended, out.outcome, out.may_have_run = True, outcome, not outcome.never_executed
        get.story.append((now, f"attempt {out.number} {outcome.name.lower()}"))
        self.book.count(f"forwards_{outcome.name.lower()}")
        if self.fleet is not None:
            self.fleet.on_attempt_ended(out.cache, outcome, found, now - out.at, get.asked)
        finished = get.answered or get.client.get is not get
        decided = get.handle.attempt_ended(
            out.number, outcome, found, now - out.at, waited, load, finished, now
        )
        if out.place is not None:
            self.places.attempt_ended(out, outcome, found, waited, now)
        if decided:
            self.say(get, decided, now)
        elif get.handle.is_settled():
            self.forget(get)

    def forget(self, get):
        """Drop a request that is over; nothing more is kept of it."""
        self.invariants.forgotten(get)
        if self.wanted.log_gets and get.id in self.ids:
            self._log(get)
        self.ids.pop(get.id, None)
        if self.places is not None:
            self.places.request_ended(get)
        # Get and forwards hold each other: left so, each GET would wait for the collector.
        if self.open.pop(get.handle, None) is not None:
            get.forwards.clear()

    def _where(self, forward):
        """A forward's server and the source of a fill, by name."""
        names = [
            place.name if place is not None else f"{at:x}"
            for at in (forward.cache, forward.fill_source)
            for place in [self.servers.places.get(at)]
        ]
        return (
            f"to {names[0]}"
            if forward.fill_source == forward.cache
            else f"to {names[0]}, filled from {names[1]}"
        )

    def _log(self, get):
        """One GET from its first byte here to its end: what was decided and came of it, each with its time (ms)."""
        began = get.story[0][0] if get.story else 0
        self.log(
            "get",
            id=get.id.decode("latin-1"),
            ds=get.ds,
            object=get.thing,
            part=get.part,
            story=[f"{(at - began) // MS} {what}" for at, what in get.story],
        )

    def returned(self, out, said):
        """The first answer that a server returns goes to the client as it is."""
        if said.still_good:
            self.relay.answer(out.get, 304, headers=tagged(said.tag))
        else:
            self.relay.answer(out.get, 200, said.body, tagged(said.tag))
            get, now = out.get, self.clock()
            made = self._made(out, said, now)
            if made is not None and self.router.should_store_response(get.asked, made, now):
                self.copies.put((get.ds, get.thing, get.part), CachedResponse(said.body, said.tag, made, now))
        self.book.count("gets_returned")

    def _made(self, out, said, now):
        """When a copy was made, at the earliest, on this front's clock; None where that can't be told."""
        if said.age is not None:
            return out.at - said.age
        self.platform.add_copy_timestamp(said.made, out.cache, now)
        self.router.platform_clock_offset = self.platform.least_offset
        age = self.platform.copy_age(said.made, now) if said.made else None
        return None if age is None else now - age

    def left(self, get):
        """The client of a request has closed its connection or cancelled."""
        self.book.count("gets_left")
        now = self.clock()
        get.answered, get.client.get, get.left_at = True, None, now
        get.story.append((now, "client left"))
        if self.places is not None:
            self.places.request_ended(get)
        self.take_back(get)
        self.say(get, get.handle.client_disconnected(now), now)

    def take_back(self, get, overtaken=lambda out: True):
        """Forwards of which nothing has left yet, and that are no longer to be sent, never are.

        One waits for a connection to come up, or behind one that takes nothing, for as long as its GET may wait.
        """
        for out in list(get.forwards.values()):
            if not out.ended and overtaken(out) and self.servers.withdraw(out):
                self.loop.call_soon(self.ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {})

    def take_back_all(self, overtaken):
        """What was decided before the news just told and not begun is decided anew: it would be sent after them."""
        for get in list(self.open.values()):
            self.take_back(get, overtaken)

    def told(self, news):
        """A list or a purge, from the bus or from what was known at the start."""
        now = self.clock()
        self.stamped(news, now)
        if isinstance(news, EndpointList):
            if self.membership is not None:
                news = self.membership.merged(news, now)
            if news is not None:
                self.apply(news)
            if self.fleet is not None:
                self.fleet.on_endpoints_changed()
        elif news is not None:
            if self.fleet is not None:
                self.fleet.on_invalidation(news.object, news.group, news.at)
            self.router.invalidate(news.object, news.group, self.platform.age(news.at, now), now)
            # The oldest copy that a forward takes was worked out before the purge.
            self.take_back_all(
                lambda out: news.group == out.get.asked.group
                if news.object < 0
                else news.object == out.get.asked.object
            )
        self.arm(now)

    def stamped(self, news, now):
        """What news of discovery shows of the platform's clock; known before, their ages are told apart."""
        if isinstance(news, EndpointList):
            for entry in news.entries:
                self.platform.add_timestamp(entry.started, now)
        elif news is not None:
            self.platform.add_timestamp(news.at, now)
        self.router.platform_clock_offset = self.platform.least_offset

    def apply(self, hosts):
        """A list as it now holds: from the bus alone, or merged from all sources."""
        self.servers.listed(hosts)
        self.router.update_endpoints(hosts.entries, hosts.whole, self.clock())
        serves = {entry.id for entry in hosts.entries if entry.state is EndpointState.SERVING}
        named = hosts.names.keys()
        self.invariants.listed(serves, named, hosts.whole)
        self.take_back_all(
            lambda out: any(
                at not in serves and (hosts.whole or at in named) for at in (out.cache, out.source)
            )
        )
        self.arm(self.clock())

    def stop(self):
        """The end of the drain: what is still open gets its final answer now."""
        now = self.clock()
        for get in list(self.open.values()):
            if not get.answered:
                self.guarded(get, self.say, get, get.handle.give_up(now), now)

    def list_failed(self):
        """The endpoint list could not be had."""
        self.router.endpoint_list_failed(self.clock())

    # What is decided.

    def say(self, get, decided, now):
        """Perform the router's actions for one request, in order."""
        for one in decided:
            match one:
                case SendAttempt():
                    out = get.forwards[one.number] = OpenAttempt(
                        get, one.number, one.cache, one.fill_source, now, now + one.timeout
                    )
                    if self.wanted.log_gets:
                        get.story.append((now, f"attempt {one.number} {self._where(one)}"))
                    if get.client.peer_has_closed():
                        # Its end stands behind what this turn of the loop still does: nobody waits any more.
                        self.loop.call_soon(
                            self.ended, out, AttemptOutcome.NOT_SENT, CacheStatus.UNKNOWN, 0, {}
                        )
                        self.left(get)
                        continue
                    if (
                        former := get.forwards.get(one.number - 1)
                    ) is not None and former.outcome is not None:
                        self.book.count(f"retries_after_{former.outcome.name.lower()}")
                    if self.places is not None:
                        self.places.attempt_sent(get, out, one, now)
                    self.servers.forward(out, one)
                    self._limit(out)
                    self.armed_by(out.limit)
                case AwaitSlot():
                    self.places.request_slot(get, one.fill_source, now)
                case RejectRequest():
                    self.book.count("gets_shed")
                    self.book.count("gets_shed_after_attempts" if get.forwards else "gets_shed_unsent")
                    self.take_back(get)
                    wait = b"X-Come-Back-Ms: %d\r\n" % (one.retry_after // MS) if one.retry_after else b""
                    self.relay.answer(get, 503, headers=wait)
                case FailRequest():
                    self.book.count("gets_errored")
                    self.take_back(get)
                    self.relay.answer(get, 502)
                case CancelAttempt():
                    out = get.forwards[one.number]
                    self.servers.cancel(out)
                    self.loop.call_soon(self.ended, out, AttemptOutcome.CANCELLED, CacheStatus.UNKNOWN, 0, {})
        if get.handle.is_settled():
            self.forget(get)

    def _limit(self, out):
        """Its time-out; those of forwards that have ended go as they become many, not at their time."""
        if len(self.limits) >= self.compacts_at:
            self.limits = [one for one in self.limits if not one[2].ended]
            heapq.heapify(self.limits)
            self.compacts_at = max(COMPACTED, 2 * len(self.limits))
        heapq.heappush(self.limits, (out.limit, next(self.order), out))

    def armed_by(self, due):
        """Bring the timer forward where `due` is earlier."""
        if self.armed is None or due < self.armed:
            self.arm(self.clock())

    def arm(self, now):
        """One timer, for what the module or a forward's time-out is due at first."""
        while self.limits and self.limits[0][2].ended:
            heapq.heappop(self.limits)
        due = self.router.next_deadline()
        if self.limits and (due is None or self.limits[0][0] < due):
            due = self.limits[0][0]
        theirs = self.servers.next_due()
        if theirs is not None and (due is None or theirs < due):
            due = theirs
        if due is None or self.armed is not None and self.armed <= due:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.armed = due
        self.timer = self.loop.call_later(max(0, due - now) / 1e9, self._due)

    def _due(self):
        now, self.armed, self.timer = self.clock(), None, None
        # Each by itself: this one timer stands for all deadlines, and has to be armed again whatever breaks.
        for step in (self.servers.due, self._time_outs, self._given_up, self.arm):
            try:
                step(now)
            except Exception as fault:
                self.fault(fault)
        if self.timer is None and self.open:
            self.armed, self.timer = now + AGAIN, self.loop.call_later(AGAIN / 1e9, self._due)

    def _time_outs(self, now):
        # Before the module's own: it is to learn that a forward came to nothing, not that it was cancelled.
        while self.limits and self.limits[0][0] <= now:
            out = heapq.heappop(self.limits)[2]
            if not out.ended:
                self.guarded(out.get, self._timed_out, out)

    def _timed_out(self, out):
        never_executed = self.servers.cancel(out, timed_out=True)
        self.ended(out, never_executed or AttemptOutcome.TIMED_OUT, CacheStatus.UNKNOWN, 0, {})

    def _given_up(self, now):
        for handle, decided in self.router.on_timer(now):
            if handle in self.open:
                self.guarded(self.open[handle], self.say, self.open[handle], decided, now)

    def guarded(self, get, action, *given):
        """Whatever breaks in an action, its GET still gets its one answer and the others go on."""
        try:
            action(*given)
        except Exception as fault:
            self.fault(fault)
            self.relay.answer(get, 500)
            self.forget(get)

    def loop_fault(self, loop, context):
        """What no caller caught, in place of asyncio's own handler, which writes to standard error and may block."""
        fault = context.get("exception")
        if fault is not None:
            return self.fault(fault)
        self.log("fault", error=str(context.get("message", ""))[:200], where="loop")
        self.book.count("faults")

    def fault(self, fault):
        """Log and count an exception of the program."""
        at = (traceback.extract_tb(fault.__traceback__) or [None])[-1]
        self.log(
            "fault", error=f"{type(fault).__name__}: {fault}", where=f"{at.name}:{at.lineno}" if at else ""
        )
        self.book.count("faults")
