"""Process of the adapter: reads batches from standard input and writes one reply each to standard output."""

import sys
import traceback
from collections.abc import Iterable
from typing import BinaryIO

from sprucegate.simulator.codec import Line, MalformedLineError
from sprucegate.simulator.host import Host


def run(source: Iterable[bytes], sink: BinaryIO) -> None:
    """Answer batches until the input ends; each reply is flushed.

    :raises MalformedLineError: for malformed input.
    """
    host = Host()
    now: int | None = None
    lines: list[Line] = []
    for number, data in enumerate(source, 1):
        try:
            text = data.decode("utf-8").rstrip("\r\n")
        except UnicodeDecodeError:
            raise MalformedLineError(f"line {number}: not valid UTF-8") from None
        if not text:
            continue
        if now is None:
            line = Line(text, number)
            if line.name != "sync":
                raise line.error("is outside a batch: 'sync' was expected")
            now = line.time("moment")
        elif text == "eob":
            try:
                actions = host.reply(now, lines)
            except MalformedLineError:
                raise
            except Exception as error:
                # Report the error and its location in the reply, so that operators see it.
                frame = traceback.extract_tb(error.__traceback__)[-1]
                text = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
                text = " ".join(text.split())
                instance = lines[0].fields.get("i", "0") if lines else "0"
                actions = [f"internal_error\ti={instance}\twhat={text}"]
            actions.append("ready\n")
            sink.write("\n".join(actions).encode())
            sink.flush()
            now = None
            lines = []
        else:
            lines.append(Line(text, number))
    if now is not None:
        raise MalformedLineError("input ended inside a batch")


def main() -> int:
    """Run until the input ends; returns exit status 2 for malformed input, 1 for closed output, else 0."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLineError as error:
        print(f"sprucegate: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0
