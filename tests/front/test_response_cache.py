"""The front's own response cache keeps within its capacity in memory."""

from sprucegate.front.response_cache import CachedResponse, ResponseCache

CAPACITY_BYTES = 100_000
ENTRY_BYTES_MIN = 500  # key, record and table entry of a response without a body take at least as much memory


def filled(body, count):
    cache = ResponseCache(CAPACITY_BYTES, 1e9)
    for at in range(count):
        cache.put(("media", f"{at:x}", 0), CachedResponse(body, f"t{at}", 0, 0))
    return cache


def test_many_small_responses_are_bounded_by_the_memory_of_their_entries():
    """Guards against memory that grows without end by objects of few bytes, under ever new names (issue 59)."""
    assert len(filled(b"", 10_000).responses) <= CAPACITY_BYTES / ENTRY_BYTES_MIN


def test_a_smaller_capacity_evicts_the_least_recently_used_responses():
    cache = filled(b"x" * 1000, 20)
    cache.record_sent(("media", "0", 0), 1000, 0)
    cache.resize(CAPACITY_BYTES // 20)
    assert cache.find(("media", "0", 0)) is not None and cache.find(("media", "1", 0)) is None
    assert cache.stored_bytes <= CAPACITY_BYTES // 20
    cache.resize(0)
    assert not cache.responses and cache.stored_bytes == 0
