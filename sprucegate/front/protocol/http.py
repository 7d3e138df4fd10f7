"""The HTTP/1.1 codec (RFC 9112) of client connections: bytes to requests, responses to bytes; opens no socket."""

from typing import NamedTuple

import httptools

from sprucegate.errors import ProtocolError

HEAD_BYTES_MAX = 8192
HEADER_FIELDS_MAX = 100  # a field of a few bytes takes many times its size in memory
# Between two parts of a body: chunk sizes, their extensions and the trailer section, which is discarded.
FRAMING_BYTES_MAX = 8192
BODY_BYTES_MAX = 48_000
FIELD_OVERHEAD_BYTES = 192  # of memory that a header field takes besides its text
NOT_MODIFIED = 304
REASONS = {
    200: "OK",
    NOT_MODIFIED: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict
    body: bytes
    keep_alive: bool


class RejectedRequest(NamedTuple):
    """The response to an invalid request: its status, a plain text and further header lines."""

    status: int
    text: str
    headers: bytes = b""


class ParsingStoppedError(ProtocolError):
    """Raised in a callback to end the parsing of what was read: nothing after it is used."""


class RequestReader:
    """Parses the requests of one connection. After an invalid request nothing more is read.

    The methods `on_*` are httptools' callbacks.

    :ivar rejection: the RejectedRequest for the first invalid request, or None
    :ivar request_started: part of a request was read
    :ivar complete: requests completed by the current call of `feed`
    :ivar pipelined: another request began before this one was answered; it is not read
    :ivar in_head: the request line and headers are not complete yet
    :ivar unparsed_size: bytes read since the request began, or since the last part of its body, in whole chunks
    :ivar fields_size: bytes of the names and values of the header fields
    """

    def __init__(self, repeatable=frozenset()):
        """`repeatable`: headers that may occur more than once; differing values are replaced by an empty one."""
        self.parser = httptools.HttpRequestParser(self)
        self.repeatable = repeatable
        self.rejection = None
        self.pipelined = False
        self.complete = []
        self._reset()

    def _reset(self):
        self.target = b""
        self.headers = {}
        self.body = b""
        self.in_head = True
        self.unparsed_size = 0
        self.fields_size = 0
        self.request_started = False

    def memory_size(self):
        """Return the memory that a partly read request takes, in bytes; 0 without one."""
        if not self.request_started or self.rejection:
            return 0
        fields = self.fields_size + FIELD_OVERHEAD_BYTES * len(self.headers)
        return self.unparsed_size + fields + len(self.body)

    def release(self):
        """Free what the reader holds; nothing can be fed to it afterwards.

        The parser refers to the reader's methods and the reader to the parser: without this a closed connection's
        reader, with all that it has read, would stay until the garbage collector finds the cycle.
        """
        self.parser = None
        self.complete = []
        self._reset()

    def on_message_begin(self):
        """Handle the first byte of a request; the parser stops at one behind a complete request."""
        if self.complete:
            self.pipelined = True
            raise ParsingStoppedError
        self.request_started = True

    def on_url(self, url):
        """Handle a part of the request target."""
        self.target += url

    def on_header(self, name, value):
        """Handle a header; a differing value for an earlier name is an error, unless the header is repeatable.

        Fields of the trailer section are discarded (RFC 9110 section 6.5.1).
        """
        if not self.in_head:
            return
        name = name.lower()
        if len(self.headers) >= HEADER_FIELDS_MAX:
            self._stop(431, f"a head holds at most {HEADER_FIELDS_MAX} fields")
        if name in self.headers and self.headers[name] != value:
            # Differing lengths or ids would allow request smuggling (RFC 9112 section 11.2).
            if name in self.repeatable:
                value = b""
            else:
                self._stop(400, f"header {name.decode('latin-1')} stands twice")
        self.headers[name] = value
        self.fields_size += len(name) + len(value)

    def on_headers_complete(self):
        """Handle the end of the headers; a Content-Length above the limit is rejected before its body arrives."""
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_BYTES_MAX:
            self._stop(413, f"a body holds at most {BODY_BYTES_MAX} bytes")

    def on_body(self, body):
        """Handle a part of the body, up to the limit."""
        self.unparsed_size = 0
        if not self.body:
            self.body = bytearray()
        self.body += body
        if len(self.body) > BODY_BYTES_MAX:
            self._stop(413, f"a body holds at most {BODY_BYTES_MAX} bytes")

    def on_message_complete(self):
        """Handle the end of a request."""
        self.complete.append(
            Request(
                self.parser.get_method(),
                self.target,
                self.headers,
                bytes(self.body),
                self.parser.should_keep_alive(),
            )
        )
        self._reset()

    def feed(self, data):
        """Return the requests that these bytes complete; `rejection` is set if they can't be a valid request."""
        if self.rejection or self.pipelined:
            return []
        self.unparsed_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "no other protocol is spoken here")
        except httptools.HttpParserError:
            if not self.pipelined:
                self._reject(400, "not a readable HTTP/1.1 request")
        self._check_size()
        complete, self.complete = self.complete, []
        return complete

    def _check_size(self):
        """Reject a request that goes on and on: httptools buffers an incomplete field itself, without a limit."""
        if self.in_head and self.unparsed_size > HEAD_BYTES_MAX:
            self._reject(431, f"a head holds at most {HEAD_BYTES_MAX} bytes")
        elif not self.in_head and self.unparsed_size > HEAD_BYTES_MAX + FRAMING_BYTES_MAX:
            self._reject(400, f"chunk extensions and trailers hold at most {FRAMING_BYTES_MAX} bytes")

    def _reject(self, status, text):
        """Set the rejection, unless there is one, and free what was read: nothing of it is used any more."""
        if not self.rejection:
            self.rejection = RejectedRequest(status, text)
            self.headers = {}
            self.body = b""

    def _stop(self, status, text):
        """Reject the request from a callback of the parser."""
        self._reject(status, text)
        raise ParsingStoppedError


def encode_response(status, body=b"", headers=b"", close=False):
    """Return the bytes of a response. It always has a length, so that a truncated one is detected."""
    length = b"" if status == NOT_MODIFIED else b"Content-Length: %d\r\n" % len(body)
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b%b" % (status, REASONS[status].encode(), length, headers, ending, body)


def etag_header(etag):
    """Return the ETag header line for an entity tag without quotes; empty for an empty tag."""
    return b'ETag: "%b"\r\n' % etag.encode() if etag else b""
