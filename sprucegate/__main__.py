"""One front as a process. A fault in its configuration is one line and exit 2."""

import gc
import os
import sys

import uvloop

from sprucegate.front.lifecycle import configuration
from sprucegate.front.lifecycle.run import serve


def main():
    try:
        wanted = configuration.read(os.environ)
    except configuration.Faulty as fault:
        print(f"sprucegate: {fault}", file=sys.stderr)
        return 2
    # What the start built stays: the collector need not walk it for the rest of the day.
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    return uvloop.run(serve(wanted))


if __name__ == "__main__":
    sys.exit(main())
