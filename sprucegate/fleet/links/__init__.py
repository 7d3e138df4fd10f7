"""Fronts talk over TCP: frames, queues that are bounded, connections by fan-out."""
