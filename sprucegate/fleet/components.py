"""What is joined to a front's fleet by the operator's file: parts with the same few calls, each imported only where the
file has its node. A part that breaks loses the one call, not the front."""


class Part:
    name, takes = "", ()  # whose words of `codec.Word` it is given; other messages that it takes
    asked = ""  # by which word `fleet why` asks it
    answers = {}  # question -> awaited call with what was given: its answer as a map

    async def start(self):
        pass

    def off(self):
        """The fleet's disk can't be used: this front goes on by itself, and `start` does not come."""

    def heard(self, sender, message):
        """A message of a kind that it takes, or the bytes of a word for it."""

    def viewed(self, view):
        """A new view of the fleet."""

    def listed(self):
        """The list of servers changed."""

    def renamed(self, name, life):
        """This front is another life, or another name beside its twin."""

    def forwarded(self, cache, outcome, found, took, asked):
        """One forward's end at a server."""

    def leaves(self):
        """SIGTERM: the others need not find out by themselves."""

    def why(self, given):
        """Rows for `fleet why NAME ...`, or None."""

    async def stop(self):
        pass


def wanted(fleet):
    """The parts that the file has, in the order in which they start."""
    made = []
    if fleet.agreement is not None:
        from sprucegate.fleet.consensus.driver import AgreedPart

        made.append(AgreedPart(fleet, *fleet.agreement))
    if fleet.shares is not None:
        from sprucegate.fleet.quotas.part import SharesPart

        made.append(SharesPart(fleet, fleet.shares))
    return made
