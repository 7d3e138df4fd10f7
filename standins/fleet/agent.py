"""A maintenance agent for the rig: restarts servers under a permit, using the first front that answers.

`misbehaviour`: "lying" reports a server as started while it is down, "dying" exits after stopping the server, "failing"
fails the first two starts, "idle" ignores permits, "" none. A front is stopped by SIGTERM and started again;
a stand-in cache is killed and replaced by a new process. `versions`: version -> flags of the stand-in that runs it.
"""

import signal
import threading
import time

from standins.processes import Process

RENEW_INTERVAL_S = 2.0


class Agent(threading.Thread):
    def __init__(self, rig, name, boxes, misbehaviour="", versions=None, downtime=0.1):
        """`boxes`: numbers of the rig's caches, or names of fronts; `downtime`: seconds that a server is stopped."""
        super().__init__(daemon=True)
        self.rig, self.name, self.misbehaviour, self.versions, self.downtime = (
            rig,
            name,
            misbehaviour,
            versions or {},
            downtime,
        )
        self.boxes = {at if isinstance(at, str) else f"s-{at + 16:02x}": at for at in boxes}
        self.failed_starts, self.stop_begun = 0, {}
        self.stopped = False
        self.renewed = {}
        self.started = {}
        self.late_gets = 0
        self.replaced = []
        self.fault = None

    def run(self):
        try:
            while not self.stopped:
                for name in self.rig.names:
                    if (state := self.rig.agreed(name)).get("ok") and not state["fenced"]:
                        self._process_permits(name, [p for p in state["permits"] if p["box"] in self.boxes])
                        break
                time.sleep(0.02)
        except Exception as fault:  # the thread that waits for this agent checks `fault`
            self.fault = fault

    def _process_permits(self, front, permits):
        for permit in permits:
            id, box, step = permit["id"], self.boxes[permit["box"]], permit["step"]
            if self.misbehaviour == "idle":
                continue
            if (
                step in ("drained", "out", "cold")
                and time.monotonic() - self.renewed.get(id, 0) > RENEW_INTERVAL_S
            ):
                self.renewed[id] = time.monotonic()
                self.rig.propose(front, "renew", id, self.name)
            if step == "drained":
                self.rig.propose(front, "out", id, self.name)
            elif step == "out":
                if id not in self.started:
                    if id not in self.stop_begun:
                        self.stop_begun[id] = True
                        self._stop_server(id, box)
                    if self.misbehaviour == "dying":
                        self.stopped = True
                        return
                    if self.misbehaviour == "lying":
                        self.rig.propose(front, "started", id, "not so")
                        continue
                    self._start_server(id, box, permit["version"])
                if id in self.started:
                    self.rig.propose(front, "started", id, self.started[id])
            elif step == "cold" and not isinstance(box, str):
                if id not in self.started or self.rig.boxes[box].process.poll() is not None:
                    if self.misbehaviour != "lying":
                        self._start_server(id, box, permit["version"])
                if id in self.started and self.started[id] != permit["start"]:
                    self.rig.propose(front, "started", id, self.started[id])

    def _stop_server(self, id, box):
        if isinstance(box, str):
            front = self.rig.fronts[box]
            front.signal(signal.SIGTERM)
            front.process.wait(10)
            return
        self._kill_process(box)

    def _kill_process(self, box):
        """Count in `late_gets` the GETs that the cache gets after all fronts reported it drained, then kill it.

        The first 50 ms are not counted, for GETs under way.
        """
        time.sleep(0.05)
        before = self.rig.ran(box)
        time.sleep(0.1)
        self.late_gets += self.rig.ran(box) - before
        process = self.rig.boxes[box].process
        if process.poll() is None:
            process.kill()
            process.wait()

    def _start_server(self, id, box, version):
        time.sleep(self.downtime)
        if isinstance(box, str):
            front = self.rig.fronts[box]
            since = len(front.lines)
            front.start()
            front.until("ready", since)
            self.started[id] = str(time.time_ns())
            self.replaced.append((box, version))
            return
        if self.misbehaviour == "failing" and self.failed_starts < 2:
            self.failed_starts += 1
            return
        old = self.rig.boxes[box]
        old.process.stdout.close()
        flags = {"service": 0.001, "made": 1, **self.versions.get(version, {})}
        self.rig.boxes[box] = Process(
            "lines", port=int(old.address.rpartition(":")[2]), ran=self.rig.folder / f"ran-{box}", **flags
        )
        self.started[id] = str(time.time_ns())
        self.replaced.append((box, version))
