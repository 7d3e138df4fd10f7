"""The signals that end a process must not change how it ends once it is ending.

The event loop gives the signals back their default effects as it closes. A SIGTERM or SIGINT that comes then, as the
second one of a series, would end the process by that signal, which looks like a crash of a front that has ended well.
"""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


async def run_to_exit(service: Coroutine[Any, Any, int]) -> int:
    """Run what the process is there for, and return its exit status.

    These signals are ignored from then on.
    """
    try:
        return await service
    finally:
        _ignore_signals(asyncio.get_running_loop())


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    # Removing a handler gives the signal its default effect for a moment: it is blocked meanwhile.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    for number in SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
