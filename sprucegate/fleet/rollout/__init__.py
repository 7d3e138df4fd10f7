"""Who may go out, releases in waves, and the gates that stop them. No I/O, no clock."""
