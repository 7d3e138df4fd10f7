"""Decisions about requests, without I/O, clock or random numbers: events in, actions out."""
