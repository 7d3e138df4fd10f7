"""A cache that speaks HTTP/2 as docs/http2.md has it; it writes down what it answered, and from which copy.

It counts a copy's age in whole seconds (RFC 9111, section 4.2.3; "delta-seconds", section 1.2.2), and answers
from the copy if that age is at most `max-age` (section 5.2.1.1). Otherwise it fills from the origin.
"""

import argparse
import time

import uvloop
from standins import http2


def unix_ms():
    return time.time_ns() // 1_000_000


class Cache(http2.Server):
    def __init__(self, answers, **script):
        super().__init__(**script)
        self.copies, self.answers = {}, open(answers, "a", buffering=1)

    def came(self, peer, request):
        now = unix_ms()
        key = int(request.fields[b":path"].split(b"/")[3], 16)
        control = request.fields.get(b"cache-control", b"").decode()
        wanted = [int(word[8:]) for word in control.split(", ") if word.startswith("max-age=")]
        made = self.copies.get(key)
        hit = made is not None and (not wanted or (now - made) // 1000 <= wanted[0])
        if not hit:
            made = None if request.only_if_cached else now
            self.copies[key] = made or self.copies.get(key)
        said = "lacks" if made is None else "hit" if hit else "filled"
        self.answers.write(
            f"{request.id} {key:x} came={now} made={made} {said} cache-control={control or '-'}\n"
        )
        peer.loop.call_later(0.001, self.answer, peer, request, made, hit)

    def answer(self, peer, request, made, hit):
        if peer.run(request) and not peer.closed:
            if made is None:
                peer.answer(request.stream, 504, (), b"")
                return
            fields = (
                (b"etag", b'"t%d"' % made),
                (b"age", b"%d" % ((unix_ms() - made) // 1000)),
                (b"cache-status", b"s-0b; hit" if hit else b"s-0b; fwd=uri-miss"),
            )
            peer.answer(request.stream, 200, fields, b"made=%d" % made)


def main():
    flags = argparse.ArgumentParser()
    flags.add_argument("--limit", type=int, default=100)
    flags.add_argument("--answers", required=True)
    uvloop.run(http2.serve(Cache(**vars(flags.parse_args()))))


if __name__ == "__main__":
    main()
