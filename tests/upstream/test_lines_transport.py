"""The line transport: what is read while buffers are full, and which process a connection leads to."""

import asyncio

from helpers import cache, served

from sprucegate.routing.events import AttemptOutcome
from sprucegate.upstream.buffered_bytes import BufferedBytes, Holder
from standins.driver import Recorder


def test_an_answer_waits_in_the_kernels_buffer_until_there_is_room_for_it():
    """Guards against answers of many servers at once, each within its own bound only (issue 59)."""
    server = cache(lambda call_id, fields, body: served(call_id, fields))

    async def run():
        driver = Recorder({1: server.address}, "lines")
        driver.buffers = BufferedBytes(100)
        driver.buffers.change(Holder.OPEN_REQUEST, 0, 100)
        attempt = driver.send(1, "a" * 16)
        await asyncio.to_thread(server.heard.get, timeout=5)
        while not driver.counters.counts["answers_put_off"]:
            await asyncio.sleep(0.01)
        assert not attempt.ended
        driver.buffers.change(Holder.OPEN_REQUEST, 100, 0)
        outcome = await driver.end(attempt)
        return outcome, driver.answers[attempt].body, driver.buffers.total

    assert asyncio.run(run()) == (AttemptOutcome.RETURNED, b"xxxxx", 0)


def test_a_partly_read_answer_is_counted_at_its_full_length_until_its_connection_ends():
    server = cache(lambda call_id, *_: b"%b served - 1000\r\nab" % call_id)

    async def run():
        driver = Recorder({1: server.address}, "lines")
        attempt = driver.send(1, "a" * 16)
        while not driver.buffers.total:
            await asyncio.sleep(0.01)
        counted = driver.buffers.by_holder[Holder.PARTIAL_ANSWER]
        outcome = await driver.end(attempt)
        return counted, outcome, driver.buffers.total

    assert asyncio.run(run()) == (1000, AttemptOutcome.RESET, 0)
