"""HTTP/2 (RFC 9113) to servers: pool, session, mapping of requests, and what the end of a stream proves."""
