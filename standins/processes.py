"""Stand-ins as processes of their own, so that their work is not the measured program's."""

import subprocess
import sys


class Process:
    """One stand-in; `address` once it listens."""

    def __init__(self, module, **flags):
        given = [
            part for name, value in flags.items() for part in ("--" + name.replace("_", "-"), str(value))
        ]
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *given], stdout=subprocess.PIPE, text=True
        )
        self.address = self.process.stdout.readline().split()[1]

    def cpu(self):
        """CPU seconds so far."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    def stop(self):
        """Its closing figures: ran, connections, closes."""
        self.process.terminate()
        said = self.process.stdout.read().split()
        self.process.wait(10)
        self.process.stdout.close()
        return dict(zip(said[::2], map(int, said[1::2]), strict=True))
