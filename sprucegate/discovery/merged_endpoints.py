"""Applies the merged view of all endpoint sources to the front's driver. Used alone where no file is watched."""

from collections.abc import Iterable

from sprucegate.discovery.merged_view import Server
from sprucegate.upstream.hosts import EndpointList


class MergedEndpoints:
    """Passes each change of the view to `driver.apply`; `view.pending_reports` has the reports for other fronts."""

    def __init__(self, driver, view):
        self.driver = driver
        self.view = view

    def merge_bus_list(self, hosts, now):
        """Merge a list of the bus into the view; return what is to be applied now, or None."""
        change = self._bus_change(hosts, now)
        return None if change is None else endpoint_list_of(change.servers)

    def apply_drain_report(self, endpoint_id, started, source, draining, now):
        """Take another front's report that a server drains or no longer does; see `View.apply_drain_report`."""
        change = self.view.apply_drain_report(endpoint_id, started, source, draining, now)
        if change is not None:
            self.apply_change(change)

    def apply_change(self, change):
        """Apply a change of the view."""
        self.driver.apply(endpoint_list_of(change.servers))

    def _bus_change(self, hosts, now):
        servers = [Server(entry, *hosts.names[entry.id]) for entry in hosts.entries]
        return self.view.update("bus", servers, hosts.whole, now)


def endpoint_list_of(servers: Iterable[Server]) -> EndpointList:
    """Return a partial endpoint list of the servers, with their names and addresses."""
    servers = list(servers)
    names = {server.entry.id: (server.name, server.address) for server in servers}
    return EndpointList(False, [server.entry for server in servers], names)
