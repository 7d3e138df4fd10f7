"""The adapter for the simulator: its line protocol on standard input and output."""
