"""The shares in a front: GETs that wait, words to and from stewards, timers. What is decided is in shares.py.

The seam to the front is put in when the fleet is made: `driver.places`, and `router.slot_limited_sources`, the sources
whose fills wait for a place. Nothing here is asked of another front on a request's path.
"""

import time

import msgspec

from sprucegate.fleet.components import FleetComponent
from sprucegate.fleet.links.codec import ComponentMessage, FrameError
from sprucegate.fleet.membership_view.degraded_mode import OwnAction, PeerAction
from sprucegate.fleet.quotas import places
from sprucegate.fleet.quotas.queue import tenant_of
from sprucegate.fleet.quotas.shares import Shares
from sprucegate.fleet.quotas.terms import Asks, GiveUp, Goes, Lent, Moved, Need, Send, Start, Terms
from sprucegate.routing.events import AttemptOutcome, CacheStatus

S = 1_000_000_000
FACTORS = 0.5  # seconds between two looks at which sources have just started
HITS = (CacheStatus.HIT, CacheStatus.STALE_HIT, CacheStatus.COLLAPSED)
GOES_ON = (
    AttemptOutcome.CANCELLED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.RESET,
)  # at the source, for all that is known here

_Count = msgspec.Meta(ge=0, le=1 << 20)
_Time = msgspec.Meta(ge=0, le=1 << 62)
_needs = msgspec.msgpack.Decoder(
    tuple[
        int,
        int,
        int,
        int,
        int,
        int,
        int,
        int,
        list[tuple[int, int, int, int, int, list[tuple[int, int, int]]]],
    ]
).decode
_lents = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, list[tuple[int, int, list[tuple[int, int]]]]]
).decode
_word = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_encode = msgspec.msgpack.Encoder().encode
_goes = msgspec.msgpack.Decoder(tuple[str, int, int]).decode
_asks = msgspec.msgpack.Decoder(tuple[int, int]).decode
KINDS = (None, Need, Lent, Asks, Goes)
DECODERS = (None, _needs, _lents, _asks, _goes)


def packed(message):
    return _encode((KINDS.index(type(message)), tuple(message)))


def unpacked(data, terms):
    """One word on shares; raises Unreadable for what no front of this fleet says."""
    try:
        kind, raw = _word(data)
        if not 0 < kind < len(KINDS):
            raise FrameError(f"a word on shares of kind {kind}, which is not known here")
        made = KINDS[kind](*DECODERS[kind](raw))
    except msgspec.MsgspecError as fault:
        raise FrameError(f"a word on shares that can't be read: {fault}") from None
    if isinstance(made, Asks | Goes):
        return made
    if isinstance(made, Need):
        counts = [n for row in made.rows for n in (*row[1:5], *[n for tenant in row[5] for n in tenant])]
        tenants = [t for row in made.rows for t, _, _ in row[5]]
    else:
        counts = [n for row in made.rows for n in (row[1], *[n for _, n in row[2]])]
        tenants = [t for row in made.rows for t, _ in row[2]]
        for source, spare, rows in made.rows:
            if spare + sum(n for _, n in rows) > terms.places.get(source, 1 << 20):
                raise FrameError(f"more places of {source:x} lent than there are: its file has other figures")
    if any(n < 0 or n > 1 << 20 for n in counts) or any(not 0 <= t < len(terms.tenants) for t in tenants):
        raise FrameError("a word on shares with tenants or counts that can't be: its file has other figures")
    return made


class Token:
    """One wait of one GET for a place."""

    __slots__ = ("get", "source", "out", "has")

    def __init__(self, get, source):
        self.get, self.source, self.out, self.has = get, source, None, False


class QuotaComponent(FleetComponent):
    name, question = "shares", "share"

    def __init__(self, fleet, node):
        self.fleet, self.node, self.driver, self.loop = fleet, node, fleet.driver, fleet.loop
        timeouts = [one for one in self.driver.wanted.settings.get("viewer_timeout", ()) if one]
        longest = node.longest or max(timeouts, default=3 * S)
        self.terms = Terms(tuple(node.weights), tuple(node.fronts), {}, longest, node.waiting)
        self.shares = Shares(fleet.name, fleet.being, self.terms, time.monotonic_ns())
        self.shares.borrower.floors = (
            True  # until a view says otherwise, once no former life can have lent them
        )
        self.tokens, self.timer, self.names, self.up = {}, None, {}, False
        self.driver.places, self.driver.router.slot_limited_sources = self, self.terms.places

    async def start(self):
        self.up = True
        own = self.fleet.peer.members.own
        self.on_identity_changed(own.name, own.incarnation)
        self._ages()

    def start_without_storage(self):
        # Without it what waits for a place would be neither filled nor answered.
        self.up = True
        self._ages()
        self._arm()

    async def stop(self):
        self.up = False
        if self.timer is not None:
            self.timer.cancel()

    # What the fleet says.

    def on_endpoints_changed(self):
        """Sources that are listed, and how many fills each bears at once by the file: by its name, else by its kind."""
        router, kinds = self.driver.router, {value: name for name, value in self.driver.wanted.kinds.items()}
        found = {}
        for node in [*router.group("parent"), *router.group("origin")]:
            at = self.driver.servers.places.get(node.id)
            name = at.name if at is not None else ""
            count = self.node.counts.get(name) or self.node.counts.get(kinds.get(node.entry.kind, ""))
            if count:
                found[node.id], self.names[node.id] = count, name
        self.names = {source: name for source, name in self.names.items() if source in found}
        if found != self.terms.places:
            self.terms.places.clear()
            self.terms.places.update(found)

    def on_identity_changed(self, name, life):
        self._do(self.shares.renamed(name, life, time.monotonic_ns()))

    def on_view_changed(self, view):
        own = self.fleet.peer.members.own
        lenders = [
            (name, row.incarnation) for name, row in view.rows.items() if view.allows(PeerAction.LENDS, name)
        ]
        lenders += [(own.name, own.incarnation)] if view.allows_own(OwnAction.LEND) else []
        self._do(
            self.shares.viewed(
                lenders,
                view.allows_own(OwnAction.BORROW),
                view.allows_own(OwnAction.FLOOR),
                time.monotonic_ns(),
            )
        )

    def on_message(self, sender, data):
        self._do(self.shares.heard(sender, unpacked(data, self.terms), time.monotonic_ns()))

    def _ages(self):
        if not self.up:
            return
        router, now = self.driver.router, self.driver.clock()
        warm, floor = router.settings.parent_warm_time, router.settings.parent_cold_share
        self.shares.factors(
            {
                node.id: places.cold(node.started and now - router.age(node, now), warm, floor, now)
                for node in router.group("parent")
            }
        )
        self.loop.call_later(FACTORS, self._ages)

    # What the front says.

    def tenant(self, headers):
        """Index of a client's tenant; whatever can't be one shares the common part."""
        at, listed = tenant_of(headers.get(self.node.header_bytes), self.node.listed)
        if not listed:
            self.driver.book.count("tenants_unlisted")
        return at

    def waits(self, get, source, now):
        """A slow GET: it has sent nothing for this, and is routed again once it has a place."""
        token, at = Token(get, source), time.monotonic_ns()
        self.tokens[get] = token
        self.driver.book.count("gets_slow")
        self._do(self.shares.arrives(token, source, get.tenant, at + get.handle.deadline - now, at))

    def sent(self, get, out, forward, now):
        """A forward goes out: by the GET's place, if it is the fill that the place is for."""
        token = self.tokens.get(get)
        if (
            token is not None
            and token.has
            and token.out is None
            and forward.fill_source == token.source
            and (not forward.only_if_cached)
        ):
            token.out, out.place = out, token
            out.limit = min(out.limit, now + self.terms.longest)

    def ended(self, out, outcome, found, waited, now):
        token = out.place
        if token is None:
            return
        out.place = None
        if self.tokens.get(token.get) is token:
            del self.tokens[token.get]
        at = time.monotonic_ns()
        if outcome in GOES_ON:
            self.shares.lingers(token, at)
            return self._arm()
        if outcome.never_executed or found in HITS:
            return self._do(self.shares.unused(token, at))
        took = now - out.at
        good = outcome is AttemptOutcome.RETURNED and took <= self.driver.router.latency_objective(
            token.get.asked
        )
        self._do(self.shares.ended(token, waited or took, good, at))

    def left(self, get):
        """It is over, or its client left: it waits no more."""
        token = self.tokens.pop(get, None)
        if token is None:
            return
        if not token.has:
            self.shares.left(token)
        elif token.out is None:
            self._do(self.shares.unused(token, time.monotonic_ns()))

    # What is decided.

    def _do(self, actions):
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(to, message)
                case Start(token, source):
                    self._starts(token, source)
                case GiveUp(token, _):
                    if self.tokens.get(token.get) is token:
                        del self.tokens[token.get]
                    self.driver.book.count("gets_not_waited")
                    now = self.driver.clock()
                    self.driver.guarded(token.get, self._gives_up, token.get, now)
                case Moved(steward):
                    self.fleet.log("shares_steward", steward=steward)
        self._arm()

    def _gives_up(self, get, now):
        self.driver.say(get, get.handle.give_up(now), now)

    def _starts(self, token, source):
        get, now = token.get, self.driver.clock()
        if self.tokens.get(get) is not token or get.handle.finished:
            return self._do(self.shares.unused(token, time.monotonic_ns()))
        token.has, get.handle.slot_source = True, source
        self.driver.guarded(get, self._routes, get, now)
        if token.out is None:  # a sibling has it by now, or another source is to be asked
            if self.tokens.get(get) is token:
                del self.tokens[get]
            self._do(self.shares.unused(token, time.monotonic_ns()))

    def _routes(self, get, now):
        decided = get.handle.route(now)
        get.handle.slot_source = None  # for this forward alone
        self.driver.say(get, decided, now)
        self.driver.arm(now)

    def _send(self, to, message):
        own = self.fleet.peer.members.own
        if to == own.name:
            self.loop.call_soon(self._own, message)
            return
        member = self.fleet.peer.members.known.get(to)
        if member is not None:
            self.fleet.links.send(to, member.address, ComponentMessage(self.name, packed(message)), False)

    def _own(self, message):
        own = self.fleet.peer.members.own
        self._do(self.shares.heard(own.name, message, time.monotonic_ns()))

    def _arm(self):
        if not self.up:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0, self.shares.next_due() - time.monotonic_ns()) / S
        self.timer = self.loop.call_later(min(wait, 1.0), self._due)

    def _due(self):
        try:
            self._do(self.shares.due(time.monotonic_ns()))
        except Exception as fault:  # without a next time all slow GETs would wait until their end
            self.driver.fault(fault)
            self.timer = self.loop.call_later(0.1, self._due)

    # Questions.

    def explain(self, given):
        now, queue, borrower = time.monotonic_ns(), self.shares.queue, self.shares.borrower
        rows = []
        for source, count in sorted(self.terms.places.items()):
            lent, places_now = borrower.room(source, now)
            tenants, using = queue.demand(source)
            said = {t: (u, w) for t, u, w in tenants}
            for tenant, name in enumerate(self.node.names):
                if given and name not in given and self.names.get(source) not in given:
                    continue
                row = queue.sources.get(source)
                rows.append(
                    {
                        "source": self.names.get(source, f"{source:x}"),
                        "tenant": name,
                        "weight": self.terms.tenants[tenant][0],
                        "using": said.get(tenant, (0, 0))[0],
                        "waiting": said.get(tenant, (0, 0))[1],
                        "lent": lent.get(tenant, 0),
                        "all_here": places_now,
                        "used_here": using,
                        "floor": self.terms.floor(self.shares.name, source),
                        "places": count,
                        "mean_ms": row.mean() // 1_000_000 if row else None,
                        "fills": len(row.times) if row else 0,
                        "steward": borrower.steward[0] or "none: its floor",
                        "lease_ms": max(0, borrower.until - now) // 1_000_000,
                    }
                )
        return rows
