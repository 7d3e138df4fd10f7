"""A front that is deaf to a slow event bus answers from a copy of its own from before a purge."""

import json
import subprocess
import time

import support

DELAY_S = 2.0
TOLD_S = 7.0  # PROTOCOL, "Figures": whatever the bus has to tell counts as told at the latest then
GRACE_S = 1.0 + 0.05  # specifics.obeyAfter, and the slack of the sockets' rules
OBJECT = 0x7F3A9C21E0B4D655


def run(case):
    program = case.python("s-0b", support.HERE / "cache.py", stdin=subprocess.PIPE)
    cache = program.until(lambda line: str(line).startswith("listening")).split()[1]
    hosts = [support.host("s-0b", cache, "std"), support.host("s-1f", case.cache("s-1f"), "origin")]
    bus = case.python("bus", support.HERE / "bus.py", stdin=subprocess.PIPE)
    at = bus.until(lambda _: bus.lines)

    def say(**said):
        case.record("bus", said=json.dumps(said))
        bus.process.stdin.write(json.dumps(said).encode() + b"\n")
        bus.process.stdin.flush()

    config, port = case.configure("n0", at, hosts)
    front = case.front("n0", config)
    front.event("ready")
    case.live(port)
    bus.event("asked")
    say(delay=DELAY_S if support.TROUBLE else 0.0)  # the open stream ends; from here on answers begin late
    time.sleep(0.5)
    for _ in range(3):
        if case.get(port, OBJECT)[1] != 200:
            raise support.CannotRun("the object is not served")
        time.sleep(0.1)
    purged = support.unix_ms()
    program.process.stdin.write(b"%016x\n" % OBJECT)  # the cache obeys the purge at once
    program.process.stdin.flush()
    say(event={"ban": {"url": f"{OBJECT:016x}", "ts": purged}})
    time.sleep(TOLD_S + GRACE_S)
    broken = None
    for _ in range(6):
        sent = support.unix_ms()
        _, status, _, body = case.get(port, OBJECT)
        old = status == 200 and int(body) < purged
        case.record("after the purge", seconds=(sent - purged) / 1000, status=status, old=old)
        broken = (sent - purged) / 1000 if old else broken
        time.sleep(2)
    asked = sum(isinstance(line, dict) for line in bus.lines)
    heard = sum(isinstance(line, dict) and line.get("event") == "told" for line in front.lines)
    case.record("the front", asked_the_bus=asked, events_heard=heard)
    if broken:
        return (
            f"{broken:.1f} s after the purge of an object, {broken - TOLD_S:.1f} s after it counts as told, a GET got "
            f"a copy from before it; the front asked the bus {asked} times and heard {heard} events"
        )
    return None


support.main(run)
