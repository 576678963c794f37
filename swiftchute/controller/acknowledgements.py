"""Nonces of the policy: when each was commanded, and which of them proxies have not been sent yet."""

from collections.abc import Iterable
from typing import Any

MAX_NONCES = 4096  # nonces whose command times are kept; older ones are dropped


class NonceTracker:
    """Nonces of one policy incarnation."""

    def __init__(self) -> None:
        """Start without nonces."""
        self.commanded_at_ns: dict[int, int] = {}
        self.unsent: dict[Any, int] = {}  # by proxy, the newest nonce not yet sent
        self.withheld: dict[Any, int] = {}  # by proxy, the newest nonce whose message was withheld

    def on_command(self, nonce: int, proxies: Iterable[Any], now: int) -> None:
        """Record that the policy requested an acknowledgement from these proxies."""
        self.commanded_at_ns[nonce] = now
        while len(self.commanded_at_ns) > MAX_NONCES:
            del self.commanded_at_ns[next(iter(self.commanded_at_ns))]
        for proxy in proxies:
            self.unsent[proxy] = nonce
            self.withheld.pop(proxy, None)  # an acknowledgement of the newer nonce covers it

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Drop the nonces of a proxy."""
        self.unsent.pop(proxy, None)
        self.withheld.pop(proxy, None)

    def pop_unsent(self, proxy: Any) -> int | None:
        """Remove and return the nonce for the next message to a proxy; None if it needs none."""
        return self.unsent.pop(proxy, None)

    def withhold(self, proxy: Any, nonce: int) -> None:
        """Record that the message that would have carried the nonce is not sent."""
        self.withheld[proxy] = nonce

    def can_acknowledge_for(self, proxy: Any) -> bool:
        """Return whether the newest nonce of a proxy is a withheld one.

        The controller acknowledges it on the proxy's behalf once the proxy has acknowledged everything that
        was sent. An unacknowledged nonce would keep egress budget reserved in the policy.
        """
        return proxy in self.withheld and proxy not in self.unsent

    def latency_ns(self, nonce: int, now: int) -> int:
        """Return the time since a nonce was commanded; 0 if its command time was dropped."""
        return now - self.commanded_at_ns.get(nonce, now)
