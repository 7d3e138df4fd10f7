"""Runs a front under the platform if no command is given, else the command line.

Exit status 2 means an invalid configuration.
"""

import gc
import os
import signal
import sys

# Set before the slow imports: until the event loop handles signals, a SIGHUP would terminate the process, and death by
# SIGTERM would look like a crash. No connection is accepted before the loop handles both.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: os._exit(0))

import uvloop  # noqa: E402

from sprucegate.assembly.process_signals import run_to_exit  # noqa: E402
from sprucegate.assembly.run import serve  # noqa: E402
from sprucegate.front import configuration  # noqa: E402


def main():
    """Run the given command, or the platform's front if there is none; return the exit status."""
    if len(sys.argv) > 1:
        # Imported here because the platform's front must not load the command line's libraries.
        from sprucegate.cli.commands import main as run_command

        return run_command(prog_name="sprucegate")
    try:
        front_configuration = configuration.read(os.environ)
    except configuration.FrontConfigurationError as error:
        print(f"sprucegate: {error}", file=sys.stderr)
        return 2
    # Objects created at startup live as long as the process; exempt them from garbage collection.
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    return uvloop.run(run_to_exit(serve(front_configuration)))


if __name__ == "__main__":
    sys.exit(main())
