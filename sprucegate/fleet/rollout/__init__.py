"""Maintenance permits, releases in waves, and the gates that halt them. No I/O, no clock."""
