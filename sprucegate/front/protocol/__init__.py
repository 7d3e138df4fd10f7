"""Protocols that a front speaks with clients and with the event bus; none of the codecs opens a socket."""
