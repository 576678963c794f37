"""What the decision module is given and what it writes to. Types only, in the words of the users.

Times are whole nanoseconds. Ids of servers, proxies, tables and peers are kept as the feed gave them.

The calls of a round are `(name, arguments)` pairs, in the order in which they came in:

    listed(scope, entries)                    scope "changes", "whole", "held" (a start) or "lost" (none)
    joined(proxy, zone, rate, fresh)          the proxy takes this planner's messages from now on
    left(proxy)                               its stream broke
    met(zone, server, tries, errored, took, span, load)   what joined proxies of a zone met at a server
    arrived(proxy, operation, invs, errored, span)        what came to a joined proxy
    applied(proxy, seal, took)                a proxy answers a mark
    woke(token)                               a timer is due
    probed(server, ending, took, load)        a probe ended; ending "answered", or why it did not
    told(peer, data)                          bytes from another planner
    slice_given(slice), slice_taken(slice), slice_line(slice, server, weight),
    slice_arrived(slice, operation, invs, errored, span)

An entry of `listed` is `(server, zone, kind, cell, state, weight, started)`; state is "ready", "draining"
or "gone".
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

Call = tuple[str, tuple[Any, ...]]
Entry = tuple[str, str, str, int, str, float, int]


@dataclass(frozen=True)
class Operation:
    """One operation of the service; its place in `Settings.operations` is its bit in a mask."""

    name: str
    objective: int  # latency objective
    timeout: int  # integration timeout
    value: float  # billed value of one invocation
    late_value: float  # share of it that an answer after the objective still earns
    repeats: str  # "idempotent", "fingerprinted" or "side-effecting"
    repeat_group: str  # fingerprinted: the servers that drop repetitions: "all", "zone", "cell"
    repeat_window: int  # fingerprinted: how long they do
    own_zone: bool  # may go only to servers in the proxy's zone
    writes: bool


@dataclass(frozen=True)
class Settings:
    """What a planner is told at its start; a figure that is absent there is None."""

    operations: tuple[Operation, ...]
    zones: tuple[str, ...]
    zone: str
    planner: int
    planners: int
    asks_list: bool  # the list comes only to those who subscribe or ask
    weights: str  # what listed weights mean: "none", "nominal", "rough" or "live"
    load_fields: tuple[str, ...]
    load_by: str  # "answers", "probe" or "none"
    may_probe: bool
    may_tell: bool
    ask_within: int | None
    drain_grace: int
    gone_binds: bool  # false: a server that was dropped and did not drain may go on being sent to
    start_capacity: float
    warm_within: int
    fall_multiple: float
    fall_span: int
    bare_limit: int
    proxies: int
    slices: int
    single_owner: bool
    admission: str  # "share", "rate" or "none"
    usual_tries: int
    try_objectives: float
    avoids_after: int
    standing: int
    report_period: int
    report_lines: float
    channel_pace: float  # lines a second
    channel_limit: float  # lines that may wait
    message_lines: float  # fixed cost of a message
    message_limit: int  # messages to a proxy within the window, 0: no limit
    message_window: int
    way: int  # mean time from the channel to a proxy
    way_most: int
    cross_price: float
    probe_price: float
    order_price: float


class Writer(Protocol):
    """Takes the decisions of a round, in order. All that concerns one proxy becomes one message."""

    def line(self, table: int, server: str, weight: float) -> None:
        """Set one line of a table; weight 0 takes it away."""

    def clear(self, table: int) -> None:
        """Empty a table of lines and levels."""

    def bind(self, proxy: int, table: int, mask: int) -> None:
        """Put a proxy on a table for the operations of the mask (0: all)."""

    def admit(self, table: int | None, mask: int, level: float, tries: int) -> None:
        """Set the part let in and the way of further tries, in one table or (None) for all."""

    def withdraw(self, server: str, out: bool) -> None:
        """Shut a server out for all joined proxies, or let it in again."""

    def mark(self, seal: int, everyone: bool) -> None:
        """Ask the proxies concerned to answer once they have applied this round."""

    def probe(self, server: str) -> None:
        """Ask a server for a sign of life."""

    def watch(self, on: bool) -> None:
        """Open or close the subscription to the list."""

    def fetch(self) -> None:
        """Ask for the whole list once."""

    def timer(self, wait: int, token: int) -> None:
        """Wake this planner after `wait`."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """Send bytes to one peer, or to all."""

    def log(self, text: str) -> None:
        """A line for the staff."""


class Decider(Protocol):
    """What the host drives: one instance a planner."""

    def decide(self, now: int, calls: Sequence[Call], writer: Writer) -> None:
        """Take in a round and write its decisions."""
