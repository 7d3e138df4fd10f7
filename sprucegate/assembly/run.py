"""Start and stop of one front."""

import asyncio
import errno
import os
import signal
import socket
import time

from sprucegate.front import configuration
from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.connection_reader import ConnectionReader
from sprucegate.front.driver import Driver
from sprucegate.front.log import Log
from sprucegate.front.subscription import Subscription

# Errors of bind, listen and socket that may pass: the address is held by another, or descriptors or memory are out.
PASSING = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
)
LISTEN_WITHIN = 5.0  # seconds for which they are tried again
LISTEN_AGAIN = 0.1
TURN = 0.01  # seconds between two looks at what is still open at the end
RELOADED = ("bus", "known", "offset")  # what SIGHUP applies; all else takes a restart


async def serve(wanted, log=None):
    """Serve until SIGTERM, then answer all that was taken; the exit status."""
    loop, log, pool = asyncio.get_running_loop(), log or Log(wanted.name), BufferPool(wanted.descriptors)
    stop = asyncio.Event()
    # Before anything else of the start: a SIGTERM that comes meanwhile is kept for the end of it.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    driver = Driver(wanted, pool, log)
    loop.set_exception_handler(driver.loop_fault)
    if wanted.membership is not None:
        # Here and not above: a front without it loads none of its libraries.
        from sprucegate.discovery.service import Membership

        driver.membership = Membership(driver, wanted, wanted.membership)
    if wanted.fleet is not None:
        from sprucegate.fleet.service import FleetService

        if driver.membership is None:
            from sprucegate.discovery.merged_endpoints import MergedEndpoints
            from sprucegate.discovery.merged_view import View

            driver.membership = MergedEndpoints(driver, View(("bus",), 0, driver.clock()))
        driver.fleet = FleetService(
            driver,
            wanted.fleet,
            wanted.name,
            wanted.seed,
            driver.membership,
            wanted.agreement,
            shares=wanted.shares,
        )
        # Before the first list: it may lift a drain of this front's own that the last run left.
        await driver.fleet.load()
    for _, news in wanted.known:  # first all of them: the newest tells how old the others are
        driver.stamped(news, driver.clock())
    for _, news in wanted.known:
        driver.told(news)
    listed = wanted.membership is None
    if not listed:
        # Other fronts may hold a list that takes away too much: with servers of the last run they are heard first.
        listed = not await driver.membership.recovers() or wanted.fleet is None
        if listed:
            await driver.membership.start()
    for _ in range(3):  # turns that a signal takes from the system to its handler, and one more
        await asyncio.sleep(0)
    if stop.is_set():
        # Nobody was let in yet: there is nothing to serve on for.
        if wanted.membership is not None:
            driver.membership.stop()
        log("stopped", **driver.book.taken())
        return 0
    repeatable = () if wanted.shares is None else (wanted.shares.lowercase_header,)
    take_in = ConnectionReader(driver, pool, wanted.descriptors // 2, wanted.times, frozenset(repeatable))
    listener = await _listening(wanted.listen, stop, log)
    if listener is None:
        if wanted.membership is not None:
            driver.membership.stop()  # or its reading process would outlive the front
        log("stopped", **driver.book.taken())
        return 0 if stop.is_set() else 1
    now = driver.clock()
    driver.servers.warm_up(driver.router.endpoints_to_connect(driver.servers.most), now)
    subscription = Subscription(driver, wanted)
    subscription.start()
    loop.add_signal_handler(signal.SIGHUP, reload, subscription, wanted, log)
    take_in.listen(listener)
    swept = loop.create_task(housekeeping(driver, take_in, pool, log))
    if driver.fleet is not None:
        # What comes meanwhile is served; but nobody is told to send here before its guard facts are there.
        driver.fleet.start()
        await _either(driver.fleet.has_joined, stop)
        if not listed:
            await driver.membership.start()
    driver.ready = True
    log("ready", listen="{}:{}".format(*wanted.listen), caches=len(driver.servers.places), last=wanted.offset)
    await stop.wait()
    if driver.fleet is not None:
        driver.fleet.leave()
    log("stopping", gets=len(driver.open))
    driver.relay.ending = True  # so that clients go elsewhere, and rest on no connection of this one
    began = driver.clock()
    await asyncio.sleep(wanted.times.still_coming / 1e9)
    while not take_in.stop_listening() or take_in.finish(driver.clock()) or driver.open:
        # A client that never reads its answer, or a patience past the kill, must not hold up the exit.
        if driver.clock() - began > wanted.times.last:
            driver.stop()
            await asyncio.sleep(5 * TURN)
            break
        await asyncio.sleep(TURN)
    swept.cancel()
    for client in list(take_in.clients):
        take_in.close(client, "stopping")
    driver.servers.stop()
    if driver.fleet is not None:
        await driver.fleet.stop()
    if wanted.membership is not None:
        driver.membership.stop()
    log("stopped", **driver.book.taken())
    return 0


async def _either(one, other):
    tasks = [asyncio.ensure_future(event.wait()) for event in (one, other)]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def reload(subscription, started_with, log):
    """SIGHUP: what can change under load is taken over whole; a faulty file changes nothing."""
    try:
        wanted = configuration.read(os.environ)._replace(
            servers=started_with.servers,
            membership=started_with.membership,
            fleet=started_with.fleet,
            agreement=started_with.agreement,
            shares=started_with.shares,
            log_gets=started_with.log_gets,
        )
    except Exception as fault:  # whatever a file can hold, the front goes on with the old one
        log("reload_failed", error=f"{type(fault).__name__}: {fault}")
        return
    subscription.reloaded(wanted.bus, wanted.known)
    restart = [
        key
        for key in wanted._fields
        if key not in RELOADED and getattr(wanted, key) != getattr(started_with, key)
    ]
    log("reloaded", bus="{}:{}".format(*wanted.bus), last=subscription.last, needs_restart=restart)


async def _listening(address, stop, log):
    """A socket that listens, or None: where its address stays taken, or a stop was asked for meanwhile.

    What holds an address at a restart is mostly the process before, or a connection that the system gave the port to.
    """
    end, told = time.monotonic() + LISTEN_WITHIN, False
    while True:
        listener = None
        try:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(1024)
            listener.setblocking(False)
            return listener
        except OSError as fault:
            if listener is not None:
                listener.close()
            lasting = fault.errno not in PASSING or time.monotonic() > end
            if lasting or not told:
                told = True
                log(
                    "listen_failed",
                    address="{}:{}".format(*address),
                    error=str(fault),
                    tried_again=not lasting,
                )
            if lasting:
                return None
        await asyncio.sleep(LISTEN_AGAIN)
        if stop.is_set():
            return None


def _kept_on(driver, sweep):
    """A sweep that breaks is a fault, and the next one comes all the same."""
    try:
        sweep(driver.clock())
    except Exception as fault:
        driver.fault(fault)


async def housekeeping(driver, take_in, pool, log):
    """Sweep clients and servers twice a second, and log the counters once a second, until cancelled."""
    while True:
        for _ in range(2):
            await asyncio.sleep(0.5)
            _kept_on(driver, take_in.sweep)
        _kept_on(driver, driver.servers.sweep)
        driver.invariants.second()
        driver.invariants.quiet(len(driver.open), len(driver.ids), pool.out)
        log(
            "second",
            open=len(driver.open),
            clients=len(take_in.clients),
            caches=driver.servers.connections,
            buffers=pool.out,
            **driver.book.taken(),
        )
