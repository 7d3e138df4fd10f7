"""A voter process: a member of the replicated log that serves no requests."""

import asyncio
import os
import signal

import orjson

from sprucegate.assembly.process_signals import handle_signal
from sprucegate.fleet.consensus.driver import ConsensusDriver
from sprucegate.fleet.links import codec
from sprucegate.fleet.links.links import VOTER_CONNECTIONS_MAX, PeerLinks
from sprucegate.fleet.maintenance_agent import ConsensusSettings


async def run_voter(name, fleet, agreement, rollout, log, **trusted):
    """Run a voter until SIGTERM; return the exit status."""
    own_address = agreement.addresses[name]
    incarnation = int.from_bytes(os.urandom(4), "big")
    consensus = None

    def greeting():
        return codec.Greeting(codec.VERSION, fleet.name, "front", name, own_address, incarnation)

    def on_message(_, message):
        if isinstance(message, codec.ConsensusFrame):
            consensus.receive(message)

    async def on_question(question):
        if question.what != "agreed":
            return orjson.dumps({"ok": False, "error": f"{question.what} is not known to a keeper"})
        return orjson.dumps({"ok": True, "front": name, **consensus.status()})

    links = PeerLinks(fleet.address, log, greeting, on_message, on_question, VOTER_CONNECTIONS_MAX)
    consensus = ConsensusDriver(
        name,
        incarnation,
        ConsensusSettings(agreement.addresses, agreement.state, rollout.limits),
        incarnation,
        log,
        links,
        **trusted,
    )
    if fault := links.start():
        log("fleet_listen_failed", address=fleet.listen, error=fault)
        return 1
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        handle_signal(number, stop.set)
    await consensus.start()
    log("keeper_ready", listen=fleet.listen)
    await stop.wait()
    await consensus.stop()
    links.stop()
    log("keeper_stopped")
    return 0
