"""A traffic router for a two-tier cache: routing decisions, data plane, fleet control and their tools."""
