"""Base classes of the errors that this package raises on purpose. Each module defines its own below one of these.

`OSError` of a system call is passed on as it is, so that callers can tell failures of this machine apart.
"""


class SprucegateError(Exception):
    """Base of all; its text is one sentence for an operator."""


class ConfigurationError(SprucegateError):
    """A configuration, a setting or a list of servers can't be taken; the text names the file, line or key."""


class ProtocolError(SprucegateError):
    """Bytes or a message that a peer should not have sent; nothing after them on that connection is trusted."""


class StorageError(SprucegateError):
    """Stored state can't be used as it is; the text names the file."""
