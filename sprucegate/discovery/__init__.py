"""Service discovery of a front: merges lists of endpoints from the platform's bus and from a watched file.

The modules: `list_format` (the KDL format of a list), `list_reader` (reads a file or folder), `worker` (both
in a separate process), `safety_gate` (holds lists with large removals), `merged_view` (all sources as one view),
`merged_endpoints` and `service` (apply the view to the front's driver), `moves` (which objects a change moves).
"""
