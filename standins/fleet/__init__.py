"""The rig for many fronts: a deterministic driver, real processes with relays in between, and checkers."""
