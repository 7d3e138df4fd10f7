"""TCP links between processes of the fleet: framing, bounded send queues, bounded connections."""
