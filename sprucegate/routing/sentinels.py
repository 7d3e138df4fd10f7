"""Sentinel values for times."""

LONG_AGO = -1 << 62
"""A time (ns) before all others."""
