"""Sentinel values for times."""

LONG_AGO = -1 << 62
"""A time (ns) before all others; negated, a time after all others or a number larger than any other."""
