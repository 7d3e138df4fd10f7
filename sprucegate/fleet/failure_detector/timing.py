"""Periods and limits of the failure detector, in nanoseconds and counts."""

from math import ceil, log, log2, log10
from typing import NamedTuple

from sprucegate.units import MILLISECOND, SECOND


class DetectorTiming(NamedTuple):
    """Periods and limits of the failure detector.

    :ivar probe_period: ns between two probes while the local health is best (SWIM's protocol period)
    :ivar ack_timeout: ns until helpers are asked to probe
    :ivar helpers: how many members are asked to probe or are notified at once (SWIM's k)
    :ivar local_health_max: Lifeguard's S: periods and timeouts are multiplied by up to one more than this
    :ivar suspicion_min_factor: Lifeguard's alpha: probe periods, times the decimal logarithm of the size
    :ivar suspicion_max_factor: Lifeguard's beta: the maximum as a multiple of the minimum
    :ivar accusers_max: Lifeguard's K: further accusers that shorten a suspicion to its minimum
    :ivar updates_per_message: records piggybacked on one message
    :ivar transmissions_factor: SWIM's lambda: how often an update is sent, per binary logarithm of the size
    :ivar sync_period: ns between two exchanges of the full state
    :ivar port_check_interval: ns between two checks of the port of one member
    :ivar refusal_repeats_max: how often an unconfirmed refusal is sent again
    :ivar reconnect_period: ns between two attempts to reach a dead or not yet known member
    """

    probe_period: int = 500 * MILLISECOND
    ack_timeout: int = 150 * MILLISECOND
    helpers: int = 3
    local_health_max: int = 8
    suspicion_min_factor: float = 4.0
    suspicion_max_factor: float = 6.0
    accusers_max: int = 3
    updates_per_message: int = 8
    transmissions_factor: int = 4
    sync_period: int = 10 * SECOND
    port_check_interval: int = 200 * MILLISECOND
    refusal_repeats_max: int = 8
    reconnect_period: int = 2 * SECOND

    def suspicion_timeout(self, size: int, accusers: int) -> int:
        """Return the ns from suspicion to death in a fleet of `size`, by the count of accusers.

        It falls logarithmically from the maximum to the minimum with each further accuser (Lifeguard, section IV-B).
        """
        minimum = self.suspicion_min_factor * max(1.0, log10(max(1, size))) * self.probe_period
        maximum = self.suspicion_max_factor * minimum
        shortened = maximum - (maximum - minimum) * log(accusers) / log(self.accusers_max + 1)
        return int(max(minimum, shortened))

    def transmissions(self, size: int) -> int:
        """Return how often one update is piggybacked in a fleet of `size` (SWIM, section 4.1)."""
        return self.transmissions_factor * ceil(log2(size + 1))
