"""The merged view between what tells of servers and the driver, where no file is watched."""

from sprucegate.discovery.merged_view import Server
from sprucegate.upstream.hosts import EndpointList


class Merged:
    """`driver.apply(hosts)` takes each change; `news` has what of drains and removals others are to know."""

    def __init__(self, driver, view):
        self.driver, self.view = driver, view

    def merged(self, hosts, now):
        """What the bus tells, through the view: Hosts to apply now, or None."""
        change = self._told(hosts, now)
        return None if change is None else hosts_of(change.servers)

    def word(self, at, started, source, draining, now):
        """Another front's word that a server drains, or that it does no more."""
        if (change := self.view.word(at, started, source, draining, now)) is not None:
            self.hand_over(change)

    def hand_over(self, change):
        self.driver.apply(hosts_of(change.servers))

    def _told(self, hosts, now):
        servers = [Server(entry, *hosts.names[entry.id]) for entry in hosts.entries]
        return self.view.told("bus", servers, hosts.whole, now)


def hosts_of(servers):
    return EndpointList(
        False,
        [server.entry for server in servers],
        {server.entry.id: (server.name, server.address) for server in servers},
    )
