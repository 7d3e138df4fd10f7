"""Scripted peers on loopback, for tests, benchmarks and rehearsals. Nothing here is imported by the front."""
