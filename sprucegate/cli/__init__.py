"""What operators use: their file, the command line, the log by a library. The platform's front imports none of it."""
