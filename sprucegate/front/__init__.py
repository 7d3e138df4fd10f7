"""One reverse proxy instance: client connections, requests, the driver of the router, and its configuration."""
