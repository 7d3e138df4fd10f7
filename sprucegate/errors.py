"""Base classes of this package's exceptions; each module defines its own subclasses.

An `OSError` of a system call is not wrapped, so that callers can recognise failures of the local machine.
"""


class SprucegateError(Exception):
    """Base of all exceptions of this package; the message is one sentence for an operator."""


class ConfigurationError(SprucegateError):
    """A configuration, a setting or a server list is invalid; the message names the file, line or key."""


class ProtocolError(SprucegateError):
    """A peer violated the protocol; the rest of its connection must not be processed."""


class StorageError(SprucegateError):
    """Stored state is unusable; the message names the file."""
