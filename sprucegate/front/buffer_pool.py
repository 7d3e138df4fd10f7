"""Pool of reusable receive buffers of one size, with an upper bound on those in use."""

BUFFER_BYTES = 16_384


class BufferPool:
    """Lends receive buffers.

    :ivar capacity: upper bound of buffers in use at a time
    :ivar in_use: buffers in use
    :ivar free: buffers that were given back
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.in_use = 0
        self.free = []

    def take(self):
        """Return a buffer, or None at the capacity: the caller then closes or defers its connection."""
        if self.in_use >= self.capacity:
            return None
        self.in_use += 1
        return self.free.pop() if self.free else memoryview(bytearray(BUFFER_BYTES))

    def give_back(self, buffer):
        """Return a buffer to the pool; nothing may refer to its bytes any more."""
        self.in_use -= 1
        self.free.append(buffer)
