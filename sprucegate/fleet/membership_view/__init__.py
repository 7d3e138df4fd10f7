"""How the fleet stands, as this front sees it, and what may be done in each standing."""
