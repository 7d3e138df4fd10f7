"""Durable files: snapshots and append-only logs of checksummed records, over a layer of disk calls that tests make fail.

The modules, from the lowest up: `disk` (system calls, atomic replacement of a file), `records` (format of one record),
`log` (append-only log), `snapshots` (numbered snapshots).
"""
