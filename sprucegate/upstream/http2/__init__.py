"""HTTP/2 (RFC 9113) to servers: transport, pool, session, mapping of requests, and the evidence of each end."""
