"""This front's view of the fleet: the health state of each front, and what is allowed in it. No I/O, no clock."""
