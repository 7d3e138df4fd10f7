"""Entry point of the simulator's adapter: `python -m sprucegate.wirehost`. The work is in `sprucegate.simulator`."""

import sys

from sprucegate.simulator.process import main

if __name__ == "__main__":
    sys.exit(main())
