"""Units of time. All times and spans in this package are whole nanoseconds unless a name says otherwise."""

MICROSECOND = 1_000
MILLISECOND = 1_000_000
SECOND = 1_000_000_000
