"""Without a command one front as the platform runs it; else the command line. Faulty configuration is exit 2."""

import gc
import os
import signal
import sys

# Before the slow imports: a SIGHUP that comes before the loop can take it would end the process, and a SIGTERM would
# end it by the signal, which looks like a crash. Nobody is let in until the loop takes both.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: os._exit(0))

import uvloop  # noqa: E402

from sprucegate.assembly.run import serve  # noqa: E402
from sprucegate.front import configuration  # noqa: E402


def main():
    """Run the command line's sub-command, or the platform's front where there is none; return the exit status."""
    if len(sys.argv) > 1:
        # Here and not above: the platform's front loads none of its libraries.
        from sprucegate.cli.commands import main as command

        return command(prog_name="sprucegate")
    try:
        wanted = configuration.read(os.environ)
    except configuration.FrontConfigurationError as fault:
        print(f"sprucegate: {fault}", file=sys.stderr)
        return 2
    # What the start built stays: the collector need not walk it for the rest of the day.
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    return uvloop.run(serve(wanted))


if __name__ == "__main__":
    sys.exit(main())
