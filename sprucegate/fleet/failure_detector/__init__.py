"""SWIM failure detector with Lifeguard's extensions: which members there are, and their states. No I/O, no clock."""
