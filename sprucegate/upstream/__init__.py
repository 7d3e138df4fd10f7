"""Connections to servers (caches, parents, origins) and the protocols spoken on them."""
