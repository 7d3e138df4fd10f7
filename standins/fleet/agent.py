"""A box agent for the rig: replaces stand-in caches by permit, through whichever front answers.

`manner`: "lying" says that a box runs while it does not, "dying" ends once the box is stopped, "failing" starts it in
vain twice, "idle" does nothing. Fronts among its boxes are ended by SIGTERM and started again.
`versions`: version -> flags of the stand-in that it runs as.
"""

import signal
import threading
import time

from standins.processes import Process

RENEW = 2.0  # seconds


class Agent(threading.Thread):
    def __init__(self, rig, name, boxes, manner="", versions=None, down=0.1):
        """`boxes`: numbers of the rig's caches; `down`: seconds for which one that is replaced is away."""
        super().__init__(daemon=True)
        self.rig, self.name, self.manner, self.versions, self.down = rig, name, manner, versions or {}, down
        self.boxes = {at if isinstance(at, str) else f"s-{at + 16:02x}": at for at in boxes}
        self.vain, self.stopping = 0, {}
        self.stopped, self.renewed, self.started, self.counted, self.late, self.replaced = (
            False,
            {},
            {},
            {},
            0,
            [],
        )
        self.fault = None

    def run(self):
        try:
            while not self.stopped:
                for name in self.rig.names:
                    if (said := self.rig.agreed(name)).get("ok") and not said["fenced"]:
                        self._looks(name, [p for p in said["permits"] if p["box"] in self.boxes])
                        break
                time.sleep(0.02)
        except Exception as fault:  # told by whoever waits for what it was to do
            self.fault = fault

    def _looks(self, front, permits):
        for permit in permits:
            id, box, step = permit["id"], self.boxes[permit["box"]], permit["step"]
            if self.manner == "idle":
                continue
            if step in ("drained", "out", "cold") and time.monotonic() - self.renewed.get(id, 0) > RENEW:
                self.renewed[id] = time.monotonic()
                self.rig.propose(front, "renew", id, self.name)
            if step == "drained":
                self.rig.propose(front, "out", id, self.name)
            elif step == "out":
                if id not in self.started:
                    if id not in self.stopping:
                        self.stopping[id] = True
                        self._stops(id, box)
                    if self.manner == "dying":
                        self.stopped = True
                        return
                    if self.manner == "lying":
                        self.rig.propose(front, "started", id, "not so")
                        continue
                    self._starts(id, box, permit["version"])
                if id in self.started:
                    self.rig.propose(front, "started", id, self.started[id])
            elif step == "cold" and not isinstance(box, str):
                if id not in self.started or self.rig.boxes[box].process.poll() is not None:
                    if self.manner != "lying":
                        self._starts(id, box, permit["version"])
                if id in self.started and self.started[id] != permit["start"]:
                    self.rig.propose(front, "started", id, self.started[id])

    def _stops(self, id, box):
        if isinstance(box, str):
            front = self.rig.fronts[box]
            front.signal(signal.SIGTERM)
            front.process.wait(10)
            return
        self._kills(box)

    def _kills(self, box):
        """Kept from stopping what is still sent to: what runs there from now on was sent after all said drained."""
        time.sleep(0.05)
        before = self.rig.ran(box)
        time.sleep(0.1)
        self.late += self.rig.ran(box) - before
        process = self.rig.boxes[box].process
        if process.poll() is None:
            process.kill()
            process.wait()

    def _starts(self, id, box, version):
        time.sleep(self.down)
        if isinstance(box, str):
            front = self.rig.fronts[box]
            since = len(front.lines)
            front.start()
            front.until("ready", since)
            self.started[id] = str(time.time_ns())
            self.replaced.append((box, version))
            return
        if self.manner == "failing" and self.vain < 2:
            self.vain += 1
            return
        old = self.rig.boxes[box]
        old.process.stdout.close()
        flags = {"service": 0.001, "made": 1, **self.versions.get(version, {})}
        self.rig.boxes[box] = Process(
            "lines", port=int(old.address.rpartition(":")[2]), ran=self.rig.folder / f"ran-{box}", **flags
        )
        self.started[id] = str(time.time_ns())
        self.replaced.append((box, version))
