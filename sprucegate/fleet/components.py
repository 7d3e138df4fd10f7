"""The interface of fleet components: the calls that the fleet service makes, each of which does nothing by default.

If a component raises, that one call is lost and the router process goes on.
"""

from collections.abc import Awaitable, Callable
from typing import ClassVar


class FleetComponent:
    """A feature of the fleet that the operator's file may enable.

    :cvar name: its ComponentMessages carry this name
    :cvar message_types: other types of messages between router processes that it handles
    :cvar question: the first argument of `sprucegate fleet why` that addresses it, "" for none
    :cvar question_handlers: question -> awaited call with the question's arguments; the answer is a JSON object
    """

    name: ClassVar[str] = ""
    message_types: ClassVar[tuple[type, ...]] = ()
    question: ClassVar[str] = ""
    question_handlers: dict[str, Callable[[list[str]], Awaitable[dict[str, object]]]] = {}

    async def start(self) -> None:
        """Start, once the fleet's own state is loaded."""

    def start_without_storage(self) -> None:
        """Go on without a fleet, as its disk can't be used; called in place of `start`."""

    def on_message(self, sender: str, message: object) -> None:
        """Take a message of one of `message_types`, or the bytes of a ComponentMessage of this name."""

    def on_view_changed(self, view: object) -> None:
        """Take a new view of the fleet's members."""

    def on_endpoints_changed(self) -> None:
        """Follow a change of the list of servers."""

    def on_identity_changed(self, name: str, incarnation: int) -> None:
        """Follow this process's new incarnation, or its new name where another process bears the same one."""

    def on_attempt_ended(
        self, endpoint: str, outcome: object, cache_status: object, duration: int, request: object
    ) -> None:
        """Count the end of one attempt at a server; `duration` in ns."""

    def on_leaving(self) -> None:
        """Tell others that this process leaves after SIGTERM, so that they need not detect it."""

    def explain(self, given: list[str]) -> list[object] | None:
        """Return rows for `sprucegate fleet why NAME ...`, or None."""

    async def stop(self) -> None:
        """Stop what `start` started."""
