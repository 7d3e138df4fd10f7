"""One log among a few keepers, that all agree on. No I/O."""
