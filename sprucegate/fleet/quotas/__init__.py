"""Fair shares of slow fills: who waits in a front, what is lent among fronts, and by whom."""
