"""The adapter's process: batches on standard input, one flushed reply each on standard output."""

import sys
import traceback
from collections.abc import Iterable
from typing import BinaryIO

from sprucegate.simulator.codec import Line, MalformedLineError
from sprucegate.simulator.host import Host


def run(source: Iterable[bytes], sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    :raises MalformedLineError: for input that cannot be read.
    """
    host = Host()
    now: int | None = None
    lines: list[Line] = []
    for number, raw in enumerate(source, 1):
        try:
            text = raw.decode("utf-8").rstrip("\r\n")
        except UnicodeDecodeError:
            raise MalformedLineError(f"line {number}: is not UTF-8") from None
        if not text:
            continue
        if now is None:
            line = Line(text, number)
            if line.name != "sync":
                raise line.fault("comes before the batch's 'sync'")
            now = line.time("moment")
        elif text == "eob":
            try:
                actions = host.reply(now, lines)
            except MalformedLineError:
                raise
            except Exception as fault:
                # A fault in the decisions is for the operators to see: where it arose goes out with it.
                at = traceback.extract_tb(fault.__traceback__)[-1]
                text = f"{type(fault).__name__}: {fault} ({at.name}, line {at.lineno})"
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
    """Run until the input ends; the exit status: 2 for malformed input, 1 if the output was closed, else 0."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedLineError as fault:
        print(f"sprucegate: {fault}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0
