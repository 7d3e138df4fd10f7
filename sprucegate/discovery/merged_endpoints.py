"""The merged view between the sources of endpoints and the front's driver, where no file is watched."""

from collections.abc import Iterable

from sprucegate.discovery.merged_view import Server
from sprucegate.upstream.hosts import EndpointList


class MergedEndpoints:
    """Passes each change of the view on to `driver.apply`; `view.news` has what other fronts are to know of it."""

    def __init__(self, driver, view):
        self.driver = driver
        self.view = view

    def merged(self, hosts, now):
        """Take a list of the bus into the view; return what is to be applied now, or None."""
        change = self._bus_change(hosts, now)
        return None if change is None else endpoint_list_of(change.servers)

    def word(self, at, started, source, draining, now):
        """Another front reports that the server `at` of that start drains, or that it does no more."""
        change = self.view.word(at, started, source, draining, now)
        if change is not None:
            self.hand_over(change)

    def hand_over(self, change):
        """Apply a change of the view."""
        self.driver.apply(endpoint_list_of(change.servers))

    def _bus_change(self, hosts, now):
        servers = [Server(entry, *hosts.names[entry.id]) for entry in hosts.entries]
        return self.view.told("bus", servers, hosts.whole, now)


def endpoint_list_of(servers: Iterable[Server]) -> EndpointList:
    """Return servers as a partial list of endpoints with their names and addresses."""
    servers = list(servers)
    names = {server.entry.id: (server.name, server.address) for server in servers}
    return EndpointList(False, [server.entry for server in servers], names)
