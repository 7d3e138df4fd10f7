"""Measurements by subsystem, paired in one run: `python -m benchmarks NAME [--quick]`. No part of CI."""
