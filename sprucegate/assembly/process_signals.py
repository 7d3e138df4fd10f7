"""Handlers of a process's signals, without a moment in which a signal has its default effect.

An event loop gives a signal its default effect back when a handler is removed and when the loop closes. A SIGTERM,
SIGINT or SIGHUP in such a moment would end the process by that signal, which looks like a crash of a front that has
ended well. To block signals meanwhile is not enough: that holds for one thread, and the kernel picks another one.
So the handlers are the interpreter's own, and one is replaced by the next directly.
"""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def handle_signal(number: int, callback: Callable[..., object], *arguments: object) -> None:
    """Call `callback` from the running loop at each signal `number`."""
    loop = asyncio.get_running_loop()

    def on_signal(*_: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback, *arguments)

    signal.signal(number, on_signal)


async def run_to_exit(service: Coroutine[Any, Any, int]) -> int:
    """Run what the process is there for, and return its exit status.

    These signals are ignored from then on.
    """
    try:
        return await service
    finally:
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)
