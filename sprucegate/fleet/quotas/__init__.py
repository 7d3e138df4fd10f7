"""Concurrency quotas: each source runs a bounded number of slow fills at once, shared by weight among tenants.

A slot is the right to run one fill at one source. Each front may use its floor of the slots on its own; while the fleet
is connected, all fronts leave their floors to one of them, the lease holder, which grants them back as short leases by
tenants' weights and demand.

The modules: `settings` (what the operator's file says, durations), `messages` and `actions` (records), `slots` (how
many slots a source has now), `fair_queue` (which waiting request starts next), `borrower` (what this front may use),
`allocation` and `lease_holder` (what the fronts are granted), `coordinator` (these as one state machine), `codec`
(messages as bytes) and `component` (sockets, timers and the front's driver). All but the last two have no I/O and no
clock: (event, now) in, actions out; times are ns of a clock that never goes back.
"""
