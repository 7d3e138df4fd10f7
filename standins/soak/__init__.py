"""Soak test of many real fronts: fault schedules, servers, clients, and a judge that shares no code with the fronts."""
