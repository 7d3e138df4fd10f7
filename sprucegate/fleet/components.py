"""What is joined to a front's fleet by the operator's file: parts with the same few calls, each imported only where the
file has its node. A part that breaks loses the one call, not the front."""


class FleetComponent:
    name, message_types = "", ()  # whose words of `codec.Word` it is given; other messages that it takes
    question = ""  # by which word `fleet why` asks it
    question_handlers = {}  # question -> awaited call with what was given: its answer as a map

    async def start(self):
        pass

    def start_without_storage(self):
        """The fleet's disk can't be used: this front goes on by itself, and `start` does not come."""

    def on_message(self, sender, message):
        """A message of a kind that it takes, or the bytes of a word for it."""

    def on_view_changed(self, view):
        """A new view of the fleet."""

    def on_endpoints_changed(self):
        """The list of servers changed."""

    def on_identity_changed(self, name, life):
        """This front is another life, or another name beside its twin."""

    def on_attempt_ended(self, cache, outcome, found, took, question):
        """One forward's end at a server."""

    def on_leaving(self):
        """SIGTERM: the others need not find out by themselves."""

    def explain(self, given):
        """Rows for `fleet why NAME ...`, or None."""

    async def stop(self):
        pass


def configured_components(fleet):
    """The parts that the file has, in the order in which they start."""
    made = []
    if fleet.agreement is not None:
        from sprucegate.fleet.consensus.driver import ConsensusComponent

        made.append(ConsensusComponent(fleet, *fleet.agreement))
    if fleet.shares is not None:
        from sprucegate.fleet.quotas.component import QuotaComponent

        made.append(QuotaComponent(fleet, fleet.shares))
    return made
