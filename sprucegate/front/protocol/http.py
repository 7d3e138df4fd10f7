"""The HTTP/1.1 codec (RFC 9112) of client connections: bytes to requests, responses to bytes; opens no socket."""

from typing import NamedTuple

import httptools

HEAD_MOST_BYTES = 8192
BODY_MOST_BYTES = 48_000
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
    """A whole request; names of headers are in lower case."""

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
    """Reads the requests of one connection. After a fault nothing more is read.

    The methods `on_*` are httptools' callbacks.

    :ivar fault: the Refusal that the first invalid request gets, or None
    :ivar begun: part of a request was read
    :ivar whole: requests read whole by the current call of `feed`
    :ivar in_head: the request line and headers are not complete
    :ivar head_size: their bytes so far, counted by whole chunks
    """

    def __init__(self, repeatable=frozenset()):
        """`repeatable`: headers that may occur twice; differing values are then replaced by an empty one."""
        self.parser = httptools.HttpRequestParser(self)
        self.repeatable = repeatable
        self.fault = None
        self.whole = []
        self._clear()

    def _clear(self):
        self.target = b""
        self.headers = {}
        self.body = b""
        self.in_head = True
        self.head_size = 0
        self.begun = False

    def on_message_begin(self):
        """Handle the first byte of a request."""
        self.begun = True

    def on_url(self, url):
        """Handle a part of the request target."""
        self.target += url

    def on_header(self, name, value):
        """Handle a header; one that differs from an earlier one of its name is a fault, unless repeatable."""
        name = name.lower()
        if name in self.headers and self.headers[name] != value:
            # Two differing lengths or ids would allow request smuggling (RFC 9112 section 11.2).
            if name in self.repeatable:
                value = b""
            else:
                self.fault = self.fault or RejectedRequest(
                    400, f"header {name.decode('latin-1')} stands twice"
                )
        self.headers[name] = value

    def on_headers_complete(self):
        """Handle the end of the headers; a Content-Length above the bound is a fault before its body arrives."""
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_MOST_BYTES:
            self.fault = self.fault or RejectedRequest(413, f"a body holds at most {BODY_MOST_BYTES} bytes")

    def on_body(self, body):
        """Handle a part of the body, within the bound."""
        self.body += body
        if len(self.body) > BODY_MOST_BYTES:
            self.fault = self.fault or RejectedRequest(413, f"a body holds at most {BODY_MOST_BYTES} bytes")
            self.body = b""

    def on_message_complete(self):
        """Handle the end of a request."""
        if not self.fault:
            self.whole.append(
                Request(
                    self.parser.get_method(),
                    self.target,
                    self.headers,
                    self.body,
                    self.parser.should_keep_alive(),
                )
            )
        self._clear()

    def feed(self, data):
        """Return the requests that these bytes complete; `fault` is set once they can't be a request."""
        if self.fault:
            return []
        if self.in_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fault = RejectedRequest(400, "no other protocol is spoken here")
        except httptools.HttpParserError:
            self.fault = self.fault or RejectedRequest(400, "not a readable HTTP/1.1 request")
        if self.in_head and self.head_size > HEAD_MOST_BYTES:
            # httptools keeps an unfinished header itself: without a bound a client could fill the memory.
            self.fault = self.fault or RejectedRequest(431, f"a head holds at most {HEAD_MOST_BYTES} bytes")
        whole, self.whole = self.whole, []
        return whole


def answer(status, body=b"", headers=b"", close=False):
    """Return the bytes of a response. It always has a length, so that a truncated one is recognised."""
    length = b"" if status == NOT_MODIFIED else b"Content-Length: %d\r\n" % len(body)
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b%b" % (status, REASONS[status].encode(), length, headers, ending, body)


def tagged(tag):
    """Return the ETag header line of an entity tag given without quotes; empty for an empty one."""
    return b'ETag: "%b"\r\n' % tag.encode() if tag else b""
