"""Send: forwards to caches, and what comes back, with how far each forward had come."""

import asyncio
import socket
from collections import deque

from sprucegate.front.memory.connections import CacheConnection, Place
from sprucegate.front.memory.gets import OpenForward, Progress
from sprucegate.front.protocol import caches
from sprucegate.interface import Found, Outcome, State
from sprucegate.rules import CONNECTIONS, STALLED


class Send:
    def __init__(self, driver, pool, settings, most):
        self.driver, self.pool, self.most, self.connections = driver, pool, most, 0
        self.connect_timeout = settings.get("connect_timeout", 400_000_000)
        self.streams = settings.get("max_streams", 100)
        # A request that crosses the close of an idle connection may have run: better an own close before.
        self.idle = settings.get("keepalive", 15_000_000_000) - self.connect_timeout
        self.places, self.loop = {}, asyncio.get_running_loop()
        self.stalls = deque()                # (due, connection): answers begun that may not go on

    def listed(self, hosts):
        for entry in hosts.entries:
            name, address = hosts.names[entry.id]
            host, _, port = address.rpartition(":")
            place = self.places.get(entry.id)
            gone = entry.state is State.GONE
            if place is None:
                if not gone:
                    self.places[entry.id] = Place(entry.id, name, (host, int(port)))
            elif gone:
                self.remove(place)
            else:
                place.gone = False           # listed again after it had gone
                place.address = (host, int(port)) if address else place.address
        if hosts.whole:
            for place in [place for at, place in self.places.items() if at not in hosts.names]:
                self.remove(place)

    def remove(self, place):
        # What is still open there may yet be answered: only idle connections go at once.
        place.gone = True
        for connection in list(place.connections):
            if not connection.open:
                self.close(connection)
        if not place.connections:
            self.places.pop(place.id, None)

    def warm(self, place, now):
        if not place.connections:
            self._connect(place, now)

    def forward(self, get, said, now):
        out = OpenForward(get, said.number, now, now + said.timeout)
        get.forwards[said.number] = out
        place = self.places.get(said.cache)
        connection = place and self._connection(place, get, now)
        if connection is None:               # no room here: nothing is known of the cache
            self.loop.call_soon(self.driver.ended, out, Outcome.NOT_SENT, Found.UNTOLD, 0, {})
            return out
        # Never again on this one: a late answer, or a second copy of one, would bear the same id.
        get.left_on.append(connection)
        source = self.places.get(said.source) if said.source != said.cache else None
        line = caches.serve(get.id, get.ds, get.thing, get.part, said, source and source.name, get.have,
                            get.body)
        out.connection, connection.used = connection, now
        connection.open[get.id] = out
        self._queue(connection, line, out)
        return out

    def cancel(self, out, timed_out=False):
        """The front's side ends at once; a forward not yet begun is taken back, another is given up."""
        connection = out.connection
        if connection is None or connection.open.get(out.get.id) is not out:
            return
        del connection.open[out.get.id]
        if out.progress is Progress.NOT_SENT:
            for at, (_, queued) in enumerate(connection.queue):
                if queued is out:
                    del connection.queue[at]
                    return
        # Left open after a spoilt answer it would serve nothing more, and look just like this. The others on
        # it have waited in vain too where the time is up; where a client left, they may still be answered.
        silent = connection.answered < out.at
        if not connection.closed and not silent:
            self._queue(connection, caches.cancel(out.get.id), None)
        if not connection.open and (silent or connection.place.gone) or silent and timed_out:
            self.loop.call_soon(self.close, connection)

    def _connection(self, place, get, now):
        """The least busy one, or a new one while there is room: what spoils one should spoil few GETs."""
        best = None
        for connection in list(place.connections):
            if not connection.open and connection.up and now - connection.used > self.idle:
                self.close(connection)
            elif connection in get.left_on or len(connection.open) >= self.streams:
                continue
            elif best is None or (len(connection.open), -connection.used) < (len(best.open), -best.used):
                best = connection
        full = len(place.connections) >= CONNECTIONS or self.connections >= self.most - len(self.places)
        if best is not None and (not best.open or full):
            return best
        if self.connections >= self.most and not self._make_room():
            return best
        return self._connect(place, now)

    def _make_room(self):
        idle = [c for place in self.places.values() for c in place.connections if c.up and not c.open]
        if idle:
            self.close(min(idle, key=lambda c: c.used))
        return bool(idle)

    def _connect(self, place, now):
        connection = CacheConnection(place, now)
        place.connections.append(connection)
        self.connections += 1
        connection.task = self.loop.create_task(self._connect_to(connection))
        return connection

    def _queue(self, connection, line, out):
        if connection.up and connection.writer is None:
            try:
                sent = connection.sock.send(line)
            except BlockingIOError:
                sent = 0
            except OSError:
                sent = 0
                self.loop.call_soon(self.close, connection)
            if out is not None:
                whole = sent == len(line)
                out.progress = Progress.WHOLE if whole else Progress.PARTLY if sent else Progress.NOT_SENT
            if sent == len(line):
                return
            line = line[sent:]
        connection.queue.append((line, out))
        if connection.up and connection.writer is None:
            connection.writer = self.loop.create_task(self._write(connection))

    async def _connect_to(self, connection):
        try:
            sock = connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_timeout / 1e9):
                await self.loop.sock_connect(sock, connection.place.address)
        except OSError as fault:         # a TimeoutError is one
            # Reset when new, or refused beside others that are up: the cache is in reach, and not cold.
            connection.in_reach = isinstance(fault, ConnectionResetError) or any(
                other.up for other in connection.place.connections)
            self.close(connection)
        if connection.closed:
            return
        connection.up = True
        self.loop.add_reader(sock, self._readable, connection)
        if connection.queue:
            connection.writer = self.loop.create_task(self._write(connection))

    async def _write(self, connection):
        try:
            while connection.queue:
                line, out = connection.queue.popleft()
                if out is not None:
                    out.progress = Progress.PARTLY
                await self.loop.sock_sendall(connection.sock, line)
                if out is not None:
                    out.progress = Progress.WHOLE
        except OSError:
            self.loop.call_soon(self.close, connection)
        finally:
            connection.writer = None

    def _readable(self, connection):
        buffer = self.pool.take()
        try:
            size = connection.sock.recv_into(buffer)
            connection.heard = self.driver.clock()
            for answer in connection.reader.feed(buffer[:size]):
                self._answered(connection, answer)
            if fault := connection.reader.fault:
                self.driver.log("cache_unreadable", cache=connection.place.name, error=fault)
            if fault or not size:
                self.close(connection)
            elif connection.reader.partial() and not connection.watched:
                self._watch(connection)
        except BlockingIOError:
            pass
        except OSError:
            self.close(connection)
        finally:
            self.pool.give_back(buffer)

    def close(self, connection):
        """Ends a connection; each forward on it is told, by how far it had come."""
        if connection.closed:
            return
        was_up, sock = connection.up, connection.sock
        connection.closed, connection.up = True, False
        connection.place.connections.remove(connection)
        self.connections -= 1
        if was_up:
            self.loop.remove_reader(sock)
        pending = connection.writer if connection.writer is not None else connection.task
        if pending is not None and not pending.done() and pending is not asyncio.current_task():
            pending.add_done_callback(lambda _: sock.close())
            pending.cancel()
        elif sock is not None:
            sock.close()
        if connection.open or not was_up:
            self.driver.log("cache_connection_lost" if was_up else "cache_unreachable",
                            cache=connection.place.name, forwards=len(connection.open))
        forwards, connection.open = list(connection.open.values()), {}
        connection.queue.clear()
        if connection.place.gone and not connection.place.connections:
            if self.places.get(connection.place.id) is connection.place:
                del self.places[connection.place.id]
        for out in forwards:
            # What was up and broke shows a cache in reach, unlike one that can't be connected to.
            never_ran = Outcome.NOT_SENT if was_up or connection.in_reach else Outcome.UNREACHABLE
            outcome = Outcome.RESET if out.progress is Progress.WHOLE else never_ran
            self.driver.ended(out, outcome, Found.UNTOLD, 0, {})

    def _answered(self, connection, answer):
        connection.used = connection.answered = connection.heard
        out = connection.open.get(answer.id)
        if out is None:
            return                       # late: its forward has ended already
        try:
            outcome, found, waited, load = caches.meaning(answer)
        except caches.Unreadable as fault:
            connection.reader.fault = connection.reader.fault or str(fault)
            return
        del connection.open[answer.id]
        if outcome is Outcome.RETURNED:
            self.driver.returned(out, answer)
        self.driver.ended(out, outcome, found, waited, load)
        if connection.place.gone and not connection.open:
            self.close(connection)

    def stalled(self, now):
        """Ends connections whose answer was begun and has had no byte since."""
        while self.stalls and self.stalls[0][0] <= now:
            connection = self.stalls.popleft()[1]
            connection.watched = False
            if connection.closed or not connection.reader.partial():
                continue
            if connection.heard + STALLED > now:
                self._watch(connection)
                continue
            self.driver.log("cache_stalled", cache=connection.place.name, forwards=len(connection.open))
            self.close(connection)

    def _watch(self, connection):
        # Looked at once in so long, not at each read: large answers come in many.
        connection.watched, due = True, self.driver.clock() + STALLED
        self.stalls.append((due, connection))
        self.driver.armed_by(due)

    def sweep(self, now):
        for place in list(self.places.values()):
            for connection in list(place.connections):
                if connection.up and not connection.open and now - connection.used > self.idle:
                    self.close(connection)
