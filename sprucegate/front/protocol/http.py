"""HTTP/1.1 as clients speak it: bytes to requests, answers to bytes. Opens no socket."""

from typing import NamedTuple

import httptools

HEAD_MOST = 8192  # bytes of a request line and its headers
BODY_MOST = 48_000  # bytes of a write
REASONS = {
    200: "OK",
    304: "Not Modified",
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
    method: bytes
    target: bytes
    headers: dict
    body: bytes
    keep_alive: bool


class Refusal(NamedTuple):
    """An answer to what is no valid request: its status and a plain text."""

    status: int
    text: str
    headers: bytes = b""


class RequestReader:
    """Requests of one connection, fed as the bytes come. After a fault nothing more is read."""

    def __init__(self, repeatable=frozenset()):
        """`repeatable`: names of headers that may stand twice, as then nothing is known by them."""
        self.parser, self.repeatable = httptools.HttpRequestParser(self), repeatable
        self.fault, self.whole = None, []
        self._clear()

    def _clear(self):
        self.target, self.headers, self.body = b"", {}, b""
        self.in_head, self.head_size, self.begun = True, 0, False

    def on_message_begin(self):
        self.begun = True

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        name = name.lower()
        if name in self.headers and self.headers[name] != value:
            # Two lengths or two ids that differ are how one request is smuggled in another.
            if name in self.repeatable:
                value = b""
            else:
                self.fault = self.fault or Refusal(400, f"header {name.decode('latin-1')} stands twice")
        self.headers[name] = value

    def on_headers_complete(self):
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_MOST:
            self.fault = self.fault or Refusal(413, f"a body holds at most {BODY_MOST} bytes")

    def on_body(self, body):
        self.body += body
        if len(self.body) > BODY_MOST:
            self.fault = self.fault or Refusal(413, f"a body holds at most {BODY_MOST} bytes")
            self.body = b""

    def on_message_complete(self):
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
        """Requests that these bytes complete; `fault` is set once they can't be a request."""
        if self.fault:
            return []
        if self.in_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fault = Refusal(400, "no other protocol is spoken here")
        except httptools.HttpParserError:
            self.fault = self.fault or Refusal(400, "not a readable HTTP/1.1 request")
        if self.in_head and self.head_size > HEAD_MOST:
            # httptools keeps an unfinished header itself: without a bound a client could fill the memory.
            self.fault = self.fault or Refusal(431, f"a head holds at most {HEAD_MOST} bytes")
        whole, self.whole = self.whole, []
        return whole


def answer(status, body=b"", headers=b"", close=False):
    """One whole answer. The length always goes with it, so that a cut one is seen as cut."""
    length = b"" if status == 304 else b"Content-Length: %d\r\n" % len(body)
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%b%b%b" % (status, REASONS[status].encode(), length, headers, ending, body)


def tagged(tag):
    return b'ETag: "%b"\r\n' % tag.encode() if tag else b""
