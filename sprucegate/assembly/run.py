"""Start, reload and shutdown of one front."""

import asyncio
import errno
import os
import signal
import socket
import time

from sprucegate.assembly.process_signals import handle_signal
from sprucegate.front import configuration
from sprucegate.front.buffer_pool import BufferPool
from sprucegate.front.connection_reader import LISTEN_BACKLOG, ConnectionReader
from sprucegate.front.driver import Driver
from sprucegate.front.log import Log
from sprucegate.front.process_memory import memory_usage
from sprucegate.front.subscription import Subscription
from sprucegate.units import MILLISECOND

# Errors of socket, bind and listen that may pass: the address is in use, or descriptors or memory are exhausted.
TRANSIENT_ERRORS = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
)
LISTEN_RETRY_LIMIT_S = 5.0  # for which listening is tried again after a transient error
LISTEN_RETRY_INTERVAL_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.01  # between two checks of what is still open during shutdown
RELOADABLE_FIELDS = ("bus", "known", "offset")  # applied by SIGHUP; all others need a restart


async def serve(config, log=None):
    """Serve until SIGTERM, then complete all requests accepted; return the exit status."""
    loop = asyncio.get_running_loop()
    log = log or Log(config.name)
    pool = BufferPool(config.descriptors)
    stop = asyncio.Event()
    # Before the rest of the start: a SIGTERM during the start takes effect at its end.
    for number in (signal.SIGTERM, signal.SIGINT):
        handle_signal(number, stop.set)
    driver = Driver(config, pool, log, resident=memory_usage().resident)
    driver.on_events_received(driver.clock())  # the configuration holds those of the start
    loop.set_exception_handler(driver.on_loop_exception)
    if config.membership is not None:
        # Imported here so that a front without it doesn't load its dependencies.
        from sprucegate.discovery.service import Membership

        driver.membership = Membership(driver, config, config.membership)
    if config.fleet is not None:
        from sprucegate.fleet.service import FleetService

        if driver.membership is None:
            from sprucegate.discovery.merged_endpoints import MergedEndpoints
            from sprucegate.discovery.merged_view import View

            driver.membership = MergedEndpoints(driver, View(("bus",), 0, driver.clock()))
        driver.fleet = FleetService(
            driver,
            config.fleet,
            config.name,
            config.seed,
            driver.membership,
            config.agreement,
            shares=config.shares,
        )
        # Before the first list: it may lift a drain that this front set in its last run.
        await driver.fleet.load()
    for _, event in config.known:  # all time stamps first: ages are computed relative to the newest one
        driver.record_platform_stamps(event, driver.clock())
    for _, event in config.known:
        driver.on_discovery_event(event)
    membership_ready = config.membership is None
    if not membership_ready:
        # Other fronts may be holding back a list that removes too many servers: if servers of the last run are
        # known, the fleet is joined before the sources are read.
        membership_ready = not await driver.membership.recover() or config.fleet is None
        if membership_ready:
            await driver.membership.start()
    for _ in range(3):  # iterations of the loop until a signal reaches its handler, and one more
        await asyncio.sleep(0)
    if stop.is_set():
        # No connection was accepted yet, so there is nothing to complete.
        if config.membership is not None:
            driver.membership.stop()
        log("stopped", **driver.counters.read_and_reset())
        return 0
    repeatable = () if config.shares is None else (config.shares.lowercase_header,)
    reader = ConnectionReader(driver, pool, config.descriptors // 2, config.times, frozenset(repeatable))
    listener = await _open_listener(config.listen, stop, log)
    if listener is None:
        if config.membership is not None:
            driver.membership.stop()  # or its worker process would outlive the front
        log("stopped", **driver.counters.read_and_reset())
        return 0 if stop.is_set() else 1
    now = driver.clock()
    driver.servers.warm_up(driver.router.endpoints_to_connect(driver.servers.max_connections), now)
    subscription = Subscription(driver, config)
    subscription.start()
    handle_signal(signal.SIGHUP, reload, subscription, config, log)
    reader.listen(listener)
    housekeeping_task = loop.create_task(housekeeping(driver, reader, pool, log))
    if driver.fleet is not None:
        # Requests that arrive meanwhile are served, but the front isn't reported ready before it has caught up with
        # the fleet's facts.
        driver.fleet.start()
        await _wait_for_either(driver.fleet.has_joined, stop)
        if not membership_ready:
            await driver.membership.start()
    driver.ready = True
    log("ready", listen="{}:{}".format(*config.listen), caches=len(driver.servers.by_id), last=config.offset)
    await stop.wait()
    if driver.fleet is not None:
        driver.fleet.leave()
    log("stopping", gets=len(driver.open_requests))
    driver.response_writer.stopping = (
        True  # so that clients go to other fronts and keep no connection to this one
    )
    started_at = driver.clock()
    await asyncio.sleep(config.times.accept_after_sigterm / 1e9)
    while _is_in_use(reader, driver):
        # A client that never reads its response, or one whose deadline is after the SIGKILL, must not delay the exit.
        if driver.clock() - started_at > config.times.drain_timeout:
            driver.stop()
            await asyncio.sleep(5 * DRAIN_POLL_INTERVAL_S)
            break
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    housekeeping_task.cancel()
    for client in reader.clients:
        reader.close(client, "stopping")
    driver.servers.stop()
    if driver.fleet is not None:
        await driver.fleet.stop()
    if config.membership is not None:
        driver.membership.stop()
    log("stopped", **driver.counters.read_and_reset())
    return 0


def _is_in_use(reader, driver):
    """Take the next step of the shutdown; return whether connections wait, or are still in use, or requests open."""
    is_closed = reader.stop_listening()
    in_use = reader.drain(driver.clock())
    return not is_closed or in_use or bool(driver.open_requests)


async def _wait_for_either(one, other):
    tasks = [asyncio.ensure_future(event.wait()) for event in (one, other)]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def reload(subscription, started_with, log):
    """Handle SIGHUP: apply the reloadable fields together; an invalid file changes nothing."""
    try:
        config = configuration.read(os.environ)._replace(
            servers=started_with.servers,
            membership=started_with.membership,
            fleet=started_with.fleet,
            agreement=started_with.agreement,
            shares=started_with.shares,
            log_gets=started_with.log_gets,
        )
    except Exception as fault:  # whatever the file contains, the front keeps its configuration
        log("reload_failed", error=f"{type(fault).__name__}: {fault}")
        return
    subscription.on_reload(config.bus, config.known)
    changed_fields = [
        key
        for key in config._fields
        if key not in RELOADABLE_FIELDS and getattr(config, key) != getattr(started_with, key)
    ]
    log("reloaded", bus="{}:{}".format(*config.bus), last=subscription.last, needs_restart=changed_fields)


async def _open_listener(address, stop, log):
    """Return a listening socket, or None if its address stays in use or a stop was requested meanwhile.

    At a restart the address is mostly held by the previous process, or by an outgoing connection that was assigned
    the port.
    """
    deadline = time.monotonic() + LISTEN_RETRY_LIMIT_S
    logged = False
    while True:
        listener = None
        try:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
            return listener
        except OSError as fault:
            if listener is not None:
                listener.close()
            permanent = fault.errno not in TRANSIENT_ERRORS or time.monotonic() > deadline
            if permanent or not logged:
                logged = True
                log(
                    "listen_failed",
                    address="{}:{}".format(*address),
                    error=str(fault),
                    tried_again=not permanent,
                )
            if permanent:
                return None
        await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)
        if stop.is_set():
            return None


def _run_sweep(driver, sweep):
    """Run a sweep; an exception is logged and doesn't prevent the next one."""
    try:
        sweep(driver.clock())
    except Exception as fault:
        driver.log_exception(fault)


def _adapt_to_memory(driver, memory, log):
    """Let the response cache give way where the process comes near its limit; tell once when that begins or ends."""
    is_under_pressure = driver.memory.adapt(memory.resident)
    driver.response_cache.resize(driver.memory.response_cache_bytes)
    if is_under_pressure is not driver.is_under_memory_pressure:
        driver.is_under_memory_pressure = is_under_pressure
        log(
            "memory_pressure" if is_under_pressure else "memory_relieved",
            resident_mb=memory.resident >> 20,
            limit_mb=driver.memory.limit >> 20,
            buffered_kb=driver.buffers.kilobytes(),
            response_cache_kb=driver.response_cache.stored_bytes >> 10,
        )


async def housekeeping(driver, reader, pool, log):
    """Sweep clients twice and servers once a second, and log the counters once a second, until cancelled."""
    while True:
        for _ in range(2):
            await asyncio.sleep(0.5)
            _run_sweep(driver, reader.sweep)
        _run_sweep(driver, driver.servers.sweep)
        driver.invariants.start_second()
        reader.close_log.start_second()
        memory = memory_usage()
        _adapt_to_memory(driver, memory, log)
        driver.invariants.check_no_leaks(len(driver.open_requests), len(driver.requests_by_id), pool.in_use)
        log(
            "second",
            open=len(driver.open_requests),
            clients=len(reader.clients),
            caches=driver.servers.connections,
            buffers=pool.in_use,
            memory_mb=memory.resident >> 20,
            memory_peak_mb=memory.peak >> 20,
            buffered_kb=driver.buffers.kilobytes(),
            response_cache_kb=driver.response_cache.stored_bytes >> 10,
            bus_lag_ms=driver.router.purge_lag(driver.clock()) // MILLISECOND,
            **driver.counters.read_and_reset(),
        )
