"""Durable files: snapshots and append-only logs of checksummed records, over disk calls that tests can make fail.

The modules, from the lowest up: `disk` (system calls, atomic replacement of a file), `records` (format of one record),
`log` (append-only log), `snapshots` (numbered snapshots).
"""
