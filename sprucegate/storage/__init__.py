"""Durable files: snapshots and append-only logs of checksummed records, on disk calls in which tests inject faults.

The modules, from the lowest up: `disk` (system calls, atomic replacement of a file), `records` (format of one record),
`log` (append-only log), `snapshots` (numbered snapshots).
"""
