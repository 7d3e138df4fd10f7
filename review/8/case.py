"""Objects are purged soon after they were filled; later GETs say an oldest age that admits the copies from before."""

import random
import time

import support

GRACE_MS = 500 + 50  # purge_grace_ms of the site, and the slack of the sockets' rules
SETTINGS = {**support.SETTINGS, "specifics": {**support.SETTINGS["specifics"], "obeyAfter": 500_000}}
OBJECTS = 30  # one is purged each second: site, purges = [0.21, 1.1]
FIRST = 0x7F3A9C21E0B4D600


def steps():
    """Times from the beginning (s): each object is filled, purged within a second, and asked for again within four."""
    chance = random.Random(62)
    for number in range(OBJECTS):
        purge = 1.5 + number
        yield purge - chance.uniform(0.05, 0.95), "fill", FIRST + number
        yield purge, "purge", FIRST + number
        yield purge + chance.uniform(0.7, 4.0), "ask", FIRST + number


def run(case):
    answers = case.folder / "answers"
    program = case.python("s-0b", support.HERE / "cache.py", "--answers", answers)
    cache = program.until(lambda line: str(line).startswith("listening")).split()[1]
    hosts = [support.host("s-0b", cache, "std"), support.host("s-1f", case.cache("s-1f"), "origin")]
    bus, at = case.bus()
    config, port = case.configure("n0", at[0], hosts, SETTINGS)
    front = case.front("n0", config, "servers {\n    speak http2 kind=std\n}\n")
    front.event("ready")
    case.live(port)
    begin = time.monotonic() + 0.5
    purged, told, asked = {}, {}, {}
    for at_s, what, key in sorted(steps()):
        time.sleep(max(0, begin + at_s - time.monotonic()))
        if what == "purge" and support.TROUBLE:
            purged[key] = support.unix_ms()
            case.tell(bus, {"ban": {"url": f"{key:016x}", "ts": purged[key]}})
            # The front's lines come by a pipe: the time is the one that stands in the line.
            events = [line for line in front.lines if isinstance(line, dict) and line.get("event") == "told"]
            case.record("told so far", events=len(events))
        elif what != "purge":
            call_id, status, _, body = case.get(port, key)
            if status != 200:
                raise support.CannotRun(f"a GET was answered {status}")
            if what == "ask":
                asked[key] = (call_id, body)
    time.sleep(0.3)
    events = [
        line["at"]
        for line in front.lines
        if isinstance(line, dict) and line.get("event") == "told" and line.get("what") == "InvalidationEvent"
    ]
    if len(events) != len(purged):
        raise support.CannotRun(f"the front was told of {len(events)} purges of {len(purged)}")
    told = dict(zip(purged, events, strict=True))
    came = {}
    for line in answers.read_text().splitlines():
        call_id, _, at_ms, *rest = line.split()
        came[call_id] = int(at_ms[5:])
        case.record("cache answered", line=" ".join([call_id, at_ms, *rest]))
    old, later, oldest = 0, 0, 0
    for key, (call_id, body) in asked.items():
        if key not in told or call_id not in came:
            continue
        after = came[call_id] - told[key]
        if after > GRACE_MS:
            later += 1
            if int(body.split(b"=")[1]) < purged[key]:
                old += 1
                oldest = max(oldest, after)
    if not purged and len(asked) < OBJECTS:
        raise support.CannotRun("objects were not asked for")
    if old:
        return f"{old} of {later} GETs after the grace got a copy from before the purge, up to {oldest} ms after told"
    return None


support.main(run)
