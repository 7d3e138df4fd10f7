"""The replicated log (Raft). All but `component`, `driver`, `voter_driver` and `storage` have no I/O."""
