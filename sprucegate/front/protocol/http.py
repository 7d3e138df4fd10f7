"""The HTTP/1.1 codec (RFC 9112) of client connections: bytes to requests, responses to bytes; opens no socket."""

from typing import NamedTuple

import httptools

HEAD_BYTES_MAX = 8192
BODY_BYTES_MAX = 48_000
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


class RequestReader:
    """Parses the requests of one connection. After an invalid request nothing more is read.

    The methods `on_*` are httptools' callbacks.

    :ivar rejection: the RejectedRequest for the first invalid request, or None
    :ivar request_started: part of a request was read
    :ivar complete: requests completed by the current call of `feed`
    :ivar in_head: the request line and headers are not complete yet
    :ivar head_size: their size so far in bytes, counted in whole chunks
    """

    def __init__(self, repeatable=frozenset()):
        """`repeatable`: headers that may occur more than once; differing values are replaced by an empty one."""
        self.parser = httptools.HttpRequestParser(self)
        self.repeatable = repeatable
        self.rejection = None
        self.complete = []
        self._reset()

    def _reset(self):
        self.target = b""
        self.headers = {}
        self.body = b""
        self.in_head = True
        self.head_size = 0
        self.request_started = False

    def release(self):
        """Free what the reader holds; nothing can be fed to it afterwards.

        The parser refers to the reader's methods and the reader to the parser: without this a closed connection's
        reader, with all that it has read, would stay until the garbage collector finds the cycle.
        """
        self.parser = None
        self.complete = []
        self._reset()

    def on_message_begin(self):
        """Handle the first byte of a request."""
        self.request_started = True

    def on_url(self, url):
        """Handle a part of the request target."""
        self.target += url

    def on_header(self, name, value):
        """Handle a header; a differing value for an earlier name is an error, unless the header is repeatable."""
        name = name.lower()
        if name in self.headers and self.headers[name] != value:
            # Differing lengths or ids would allow request smuggling (RFC 9112 section 11.2).
            if name in self.repeatable:
                value = b""
            else:
                self.rejection = self.rejection or RejectedRequest(
                    400, f"header {name.decode('latin-1')} stands twice"
                )
        self.headers[name] = value

    def on_headers_complete(self):
        """Handle the end of the headers; a Content-Length above the limit is rejected before its body arrives."""
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_BYTES_MAX:
            self.rejection = self.rejection or RejectedRequest(
                413, f"a body holds at most {BODY_BYTES_MAX} bytes"
            )

    def on_body(self, body):
        """Handle a part of the body, up to the limit."""
        self.body += body
        if len(self.body) > BODY_BYTES_MAX:
            self.rejection = self.rejection or RejectedRequest(
                413, f"a body holds at most {BODY_BYTES_MAX} bytes"
            )
            self.body = b""

    def on_message_complete(self):
        """Handle the end of a request."""
        if not self.rejection:
            self.complete.append(
                Request(
                    self.parser.get_method(),
                    self.target,
                    self.headers,
                    self.body,
                    self.parser.should_keep_alive(),
                )
            )
        self._reset()

    def feed(self, data):
        """Return the requests that these bytes complete; `rejection` is set if they can't be a valid request."""
        if self.rejection:
            return []
        if self.in_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.rejection = RejectedRequest(400, "no other protocol is spoken here")
        except httptools.HttpParserError:
            self.rejection = self.rejection or RejectedRequest(400, "not a readable HTTP/1.1 request")
        if self.in_head and self.head_size > HEAD_BYTES_MAX:
            # httptools buffers an incomplete header itself: without a limit a client could exhaust the memory.
            self.rejection = self.rejection or RejectedRequest(
                431, f"a head holds at most {HEAD_BYTES_MAX} bytes"
            )
        complete, self.complete = self.complete, []
        return complete


def encode_response(status, body=b"", headers=b"", close=False):
    """Return the bytes of a response. It always has a length, so that a truncated one is detected."""
    length = b"" if status == NOT_MODIFIED else b"Content-Length: %d\r\n" % len(body)
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b%b" % (status, REASONS[status].encode(), length, headers, ending, body)


def etag_header(etag):
    """Return the ETag header line for an entity tag without quotes; empty for an empty tag."""
    return b'ETag: "%b"\r\n' % etag.encode() if etag else b""
