"""The line protocol to servers: codec, connections and transport."""
