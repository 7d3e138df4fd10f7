"""Receive buffers of one size that are used again, with an upper bound on those in use."""

BUFFER_BYTES = 16_384


class BufferPool:
    """Lends receive buffers.

    :ivar most: most buffers in use at a time
    :ivar out: buffers in use
    :ivar ready: buffers that were given back
    """

    def __init__(self, most):
        self.most = most
        self.out = 0
        self.ready = []

    def take(self):
        """Return a buffer, or None at the upper bound: the caller then closes or defers its connection."""
        if self.out >= self.most:
            return None
        self.out += 1
        return self.ready.pop() if self.ready else memoryview(bytearray(BUFFER_BYTES))

    def give_back(self, buffer):
        """Return a buffer to the pool; nothing may refer to its bytes after that."""
        self.out -= 1
        self.ready.append(buffer)
