"""The shares of a memory limit."""

import pytest

from sprucegate.routing.digest import OBJECTS_MAX
from sprucegate.routing.memory_budget import (
    BUFFER_BYTES_MIN,
    CLIENT_CONNECTION_BYTES,
    OBJECT_RECORD_BYTES,
    OBJECTS_MIN,
    SERVER_BYTES,
    SERVER_CONNECTION_BYTES,
    MemoryBudget,
    MemoryUse,
)
from sprucegate.routing.response_cache import RESPONSE_CACHE_BYTES

MB = 1 << 20
USE = MemoryUse(resident=25 * MB, client_connections=512, server_connections=341, servers=200)


@pytest.mark.parametrize("limit", [32, 48, 64, 128, 192, 2048])
def test_all_shares_together_are_within_the_limit(limit):
    budget = MemoryBudget(limit * MB, USE)
    together = (
        USE.resident
        + USE.client_connections * CLIENT_CONNECTION_BYTES
        + USE.server_connections * SERVER_CONNECTION_BYTES
        + USE.servers * SERVER_BYTES
        + budget.objects_max * OBJECT_RECORD_BYTES
        + budget.buffer_bytes
        + budget.response_cache_bytes
    )
    assert together <= limit * MB
    assert budget.objects_max <= OBJECTS_MAX and budget.response_cache_bytes <= RESPONSE_CACHE_BYTES


def test_a_process_that_is_larger_than_its_limit_still_has_the_least_shares():
    budget = MemoryBudget(16 * MB, USE)
    assert (budget.objects_max, budget.buffer_bytes, budget.response_cache_bytes) == (
        OBJECTS_MIN,
        BUFFER_BYTES_MIN,
        0,
    )


def test_only_the_response_cache_gives_way_near_the_limit_and_it_grows_again():
    budget = MemoryBudget(192 * MB, USE)
    share, buffers = budget.response_cache_bytes, budget.buffer_bytes
    assert budget.adapt(191 * MB) and budget.response_cache_bytes == share // 2
    assert not budget.adapt(170 * MB) and budget.response_cache_bytes == share // 2
    for _ in range(20):
        assert not budget.adapt(100 * MB)
    assert (budget.response_cache_bytes, budget.buffer_bytes) == (share, buffers)


def test_a_request_is_admitted_while_what_was_begun_leaves_room_for_it():
    budget = MemoryBudget(192 * MB, USE)
    size = budget.request_bytes(48_000)
    assert size > 48_000
    assert budget.admits(budget.buffer_bytes - size, size)
    assert not budget.admits(budget.buffer_bytes - size + 1, size)
