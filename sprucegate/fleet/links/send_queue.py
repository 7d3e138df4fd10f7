"""The bounded queue of what is to be sent to one peer; of a record only the newest version is queued. No I/O."""

from collections import OrderedDict, deque

from sprucegate.fleet.links import codec
from sprucegate.fleet.replica.replica import RECORDS_PER_MESSAGE, EvidenceMessage, SpreadRecords

CONTROL_BYTES_MAX = 512 << 10
TRANSFER_BYTES_MAX = 4 << 20
RECORDS_MAX = 20_000
BATCH_BYTES = 64 << 10


class SendQueue:
    """Frames to one peer by priority: control messages, new records, pieces of transfers, gossip on caches.

    :ivar control_bytes: bytes of queued control messages
    :ivar transfer_bytes: bytes of queued pieces of transfers
    :ivar dropped: count of records and messages dropped because a bound was reached
    :ivar records: queued new records by key
    """

    def __init__(self):
        self.control_bytes = 0
        self.transfer_bytes = 0
        self.dropped = 0
        self.records = OrderedDict()
        self._control = deque()
        self._transfers = deque()
        self._gossip = None  # only the latest: it replaces earlier gossip

    def __bool__(self):
        """Tell whether anything is queued."""
        return bool(self._control or self._transfers or self.records or self._gossip)

    def put(self, message, is_transfer):
        """Queue a message; `is_transfer`: it carries records, and is dropped at the bound of transfers."""
        if isinstance(message, SpreadRecords) and not message.transfer:
            self._put_records(message.records)
        elif isinstance(message, EvidenceMessage):
            self._gossip = message
        elif is_transfer:
            self._put_transfer(codec.encode_message(message))
        else:
            self._put_control(codec.encode_message(message))

    def take(self):
        """Remove and return the next bytes to send, about BATCH_BYTES at most."""
        batch, size = [], 0
        while size < BATCH_BYTES:
            data = self._next_frame()
            if data is None:
                break
            batch.append(data)
            size += len(data)
        return b"".join(batch)

    def _put_records(self, records):
        for record in records:
            self.records[record.key] = record
        while len(self.records) > RECORDS_MAX:
            # Nothing is lost: the peer's digest will differ, and it asks for what it lacks.
            self.records.popitem(last=False)
            self.dropped += 1

    def _put_transfer(self, data):
        if self.transfer_bytes + len(data) > TRANSFER_BYTES_MAX:
            self.dropped += 1  # the transfer stays incomplete, and is requested again
            return
        self._transfers.append(data)
        self.transfer_bytes += len(data)

    def _put_control(self, data):
        self._control.append(data)
        self.control_bytes += len(data)
        while self.control_bytes > CONTROL_BYTES_MAX and len(self._control) > 1:
            self.control_bytes -= len(self._control.popleft())
            self.dropped += 1

    def _next_frame(self):
        if self._control:
            data = self._control.popleft()
            self.control_bytes -= len(data)
            return data
        if self.records:
            count = min(RECORDS_PER_MESSAGE, len(self.records))
            chosen = [self.records.popitem(last=False)[1] for _ in range(count)]
            return codec.encode_message(SpreadRecords(chosen, 0, 0))
        if self._transfers:
            data = self._transfers.popleft()
            self.transfer_bytes -= len(data)
            return data
        if self._gossip is not None:
            data = codec.encode_message(self._gossip)
            self._gossip = None
            return data
        return None
