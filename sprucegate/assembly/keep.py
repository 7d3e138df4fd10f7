"""A process that does nothing but keep the agreed log."""

import asyncio
import os
import signal

import orjson

from sprucegate.fleet.consensus.driver import ConsensusDriver
from sprucegate.fleet.links import codec
from sprucegate.fleet.links.links import VOTER_CONNECTIONS_MAX, PeerLinks
from sprucegate.fleet.maintenance_agent import ConsensusSettings


async def keep(name, fleet, agreement, rollout, log, **trusted):
    """Until SIGTERM; the exit status."""
    own = agreement.addresses[name]
    life = int.from_bytes(os.urandom(4), "big")
    agreed = None

    def greeting():
        return codec.Greeting(codec.VERSION, fleet.name, "front", name, own, life)

    def heard(_, message):
        if isinstance(message, codec.ConsensusFrame):
            agreed.receive(message)

    async def asked(question):
        if question.what != "agreed":
            return orjson.dumps({"ok": False, "error": f"{question.what} is not known to a keeper"})
        return orjson.dumps({"ok": True, "front": name, **agreed.status()})

    links = PeerLinks(fleet.address, log, greeting, heard, asked, VOTER_CONNECTIONS_MAX)
    agreed = ConsensusDriver(
        name,
        life,
        ConsensusSettings(agreement.addresses, agreement.state, rollout.limits),
        life,
        log,
        links,
        **trusted,
    )
    if fault := links.start():
        log("fleet_listen_failed", address=fleet.listen, error=fault)
        return 1
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await agreed.start()
    log("keeper_ready", listen=fleet.listen)
    await stop.wait()
    await agreed.stop()
    links.stop()
    log("keeper_stopped")
    return 0
