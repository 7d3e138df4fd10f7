"""Concurrency quotas: each source runs a bounded number of slow fills at once, shared by weight among tenants.

A slot is the right to run one fill at one source. Each front has a floor, the slots that it may use on its own.
While the fleet is connected all fronts waive their floors in favour of one of them, the lease holder, which grants the
slots as short leases by tenants' weights and demand.

The modules: `settings` (operator settings, durations), `messages` and `actions` (records), `slots` (how
many slots a source has now), `fair_queue` (which waiting request starts next), `borrower` (what this front may use),
`allocation` and `lease_holder` (what the fronts are granted), `coordinator` (these as one state machine), `codec`
(messages as bytes) and `component` (sockets, timers and the front's driver). All but the last two have no I/O and no
clock: (event, now) in, actions out; times are ns of a clock that never goes back.
"""
