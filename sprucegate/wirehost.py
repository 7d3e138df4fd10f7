"""Entry point of the simulator adapter, `python -m sprucegate.wirehost`; implemented in `sprucegate.simulator`."""

import sys

from sprucegate.simulator.process import main

if __name__ == "__main__":
    sys.exit(main())
