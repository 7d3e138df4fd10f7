"""This front's view of the fleet: the health state of each front, and the actions allowed in it. No I/O, no clock."""
