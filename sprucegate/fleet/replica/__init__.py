"""What fronts hold in common: keyed facts that join, in any order, any number of times. No I/O."""
