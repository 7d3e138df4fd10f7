"""Buffers of one size, used again. What is out and what lies ready is counted, for the log and the tests."""

SIZE = 16_384


class BufferPool:
    def __init__(self, most):
        self.most, self.out, self.ready = most, 0, []

    def take(self):
        """A buffer, or None past the bound: its connection is then not begun."""
        if self.out >= self.most:
            return None
        self.out += 1
        return self.ready.pop() if self.ready else memoryview(bytearray(SIZE))

    def give_back(self, buffer):
        self.out -= 1
        self.ready.append(buffer)
