"""What must last: snapshots and logs of checksummed records, over a layer of disk calls that tests make fail."""
