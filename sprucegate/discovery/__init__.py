"""Service discovery of a front: lists of endpoints from the platform's bus and from a watched file, as one view.

The modules: `list_format` (a list as KDL), `list_reader` (a file or folder read whole), `worker` (both in a process of
its own), `safety_gate` (large removals are held), `merged_view` (all sources as one), `merged_endpoints` and `service`
(the view joined to the front's driver), `moves` (what a change moves).
"""
