"""Values that stand for times outside any run."""

LONG_AGO = -1 << 62
"""A time (ns) before every other one."""
