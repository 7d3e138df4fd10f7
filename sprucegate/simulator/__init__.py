"""Adapter for the simulator, which speaks a line protocol on standard input and output."""
