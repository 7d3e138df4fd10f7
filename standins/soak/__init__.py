"""A soak of many real fronts: schedules, servers, clients, and a judge that knows nothing of the fronts' code."""
