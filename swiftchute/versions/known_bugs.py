"""Known bugs of table synchronization, reintroduced on purpose: the model checker must find each of them."""

from typing import NamedTuple

from swiftchute.versions.encoding import Table
from swiftchute.versions.model_checker import MakeReceiver, MakeSender
from swiftchute.versions.sync import Message, Receiver, Response, Sender


class _ReceiverAcceptsLateMessages(Receiver):
    def on_message(self, message: Message, accepted: bool = True) -> Response | None:
        self.number = message.number - 1
        return super().on_message(message, accepted)


class _SenderAcceptsAnyResponse(Sender):
    def on_response(self, response: Response) -> bool:
        self.in_flight = None
        self.held_version = response.held_version
        return True


class _SenderKeepsStateOnTimeout(Sender):
    def on_timeout(self) -> None:
        self.in_flight = None


class _ReceiverAppliesAnyDelta(Receiver):
    def on_message(self, message: Message, accepted: bool = True) -> Response | None:
        response = super().on_message(message, accepted)
        if response is None or isinstance(message.update, Table) or response.held_version == message.version:
            return response
        entries = {entry.endpoint: entry for entry in self.table.entries} if self.table else {}
        entries |= {entry.endpoint: entry for entry in message.update.changed}
        self.table = Table((), tuple(entries[endpoint] for endpoint in sorted(entries)))
        return Response(message.number, message.version)


class FaultyPair(NamedTuple):
    """A sender and a receiver, at least one of them with a bug."""

    make_sender: MakeSender
    make_receiver: MakeReceiver


KNOWN_BUGS: dict[str, FaultyPair] = {
    "takes late messages": FaultyPair(Sender, _ReceiverAcceptsLateMessages),
    "takes any answer": FaultyPair(_SenderAcceptsAnyResponse, Receiver),
    "trusts silence": FaultyPair(_SenderKeepsStateOnTimeout, Receiver),
    "applies blindly": FaultyPair(_SenderKeepsStateOnTimeout, _ReceiverAppliesAnyDelta),
}
