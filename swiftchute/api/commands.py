"""Commands of the policy, and the interface between a policy and its caller."""

from collections.abc import Sequence
from typing import Any, Protocol

from swiftchute.api.events import Event


class CommandSink(Protocol):
    """Receives the commands of a round in order. All commands for one proxy are sent as one message.

    Operations are given as a bit mask: bit `i` stands for `Settings.operations[i]`, a mask of 0 for all.
    """

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Set the weight of an endpoint in a table; 0 removes the entry."""

    def clear_table(self, table: int) -> None:
        """Remove all entries and admission rates of a table."""

    def assign_table(self, proxy: Any, table: int, operation_mask: int) -> None:
        """Make a proxy use a table for the operations in the mask."""

    def set_admission(
        self, table: int | None, operation_mask: int, admission_rate: float, retry_policy: int
    ) -> None:
        """Set the admission rate and the retry policy of one table, or of all if `table` is None.

        Args:
            table: Number of the table, or None.
            operation_mask: Operations that the setting applies to.
            admission_rate: If `Settings.admission_mode` is "share", the share of requests to admit, 0 to 1;
                otherwise requests per second.
            retry_policy: 0: no retry; 1: one retry if the attempt provably never ran; 2: one retry after any
                failure; 3: two retries after any failure.
        """

    def set_ejected(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from the tables of all connected proxies, or restore it."""

    def request_ack(self, nonce: int, everyone: bool) -> None:
        """Request acknowledgements of this round from the proxies written to, or from all if `everyone`."""

    def probe(self, endpoint: str) -> None:
        """Start a health check of an endpoint."""

    def subscribe(self, enabled: bool) -> None:
        """Open or close the subscription to the endpoint list."""

    def fetch_list(self) -> None:
        """Request the full endpoint list once."""

    def start_timer(self, delay_ns: int, timer_id: int) -> None:
        """Start a timer that delivers `TimerFired` after a delay."""

    def send_to_peer(self, peer: int | None, payload: bytes) -> None:
        """Send bytes to one peer instance, or to all if `peer` is None."""

    def log(self, text: str) -> None:
        """Write a log line for the operators."""


class Policy(Protocol):
    """Makes the decisions of one instance during one incarnation."""

    def reconcile(self, now_ns: int, events: Sequence[Event], commands: CommandSink) -> None:
        """Handle the events of a round and issue the commands that follow from them."""
