"""Which fronts there are and how each stands. No I/O."""
