"""Replication among fronts: keyed records joined in any order, any number of times. No I/O, no clock."""
