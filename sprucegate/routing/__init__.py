"""Routing decisions, from events to actions, without I/O, a clock or random numbers."""
