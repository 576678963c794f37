"""Nonces of the policy: when each was commanded, and which proxies still have to be asked for them."""

from collections.abc import Iterable
from typing import Any

MAX_NONCES = 4096  # whose time of command is remembered


class NonceTracker:
    """Nonces of one policy incarnation."""

    def __init__(self) -> None:
        """Start without nonces."""
        self.commanded_at_ns: dict[int, int] = {}
        self.unsent: dict[Any, int] = {}  # by proxy, the newest nonce that no message has carried yet
        self.withheld: dict[Any, int] = {}  # by proxy, the newest nonce whose message was withheld

    def on_command(self, nonce: int, proxies: Iterable[Any], now: int) -> None:
        """The policy asked these proxies for an acknowledgement."""
        self.commanded_at_ns[nonce] = now
        while len(self.commanded_at_ns) > MAX_NONCES:
            del self.commanded_at_ns[next(iter(self.commanded_at_ns))]
        for proxy in proxies:
            self.unsent[proxy] = nonce
            self.withheld.pop(proxy, None)  # an acknowledgement of the newer nonce covers it

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Forget what was asked of a proxy."""
        self.unsent.pop(proxy, None)
        self.withheld.pop(proxy, None)

    def pop_unsent(self, proxy: Any) -> int | None:
        """Return the nonce for the next message to a proxy, if it has to carry one."""
        return self.unsent.pop(proxy, None)

    def withhold(self, proxy: Any, nonce: int) -> None:
        """The message that would have carried the nonce is not sent."""
        self.withheld[proxy] = nonce

    def can_answer_for(self, proxy: Any) -> bool:
        """Return whether a withheld nonce is the newest of a proxy.

        It is acknowledged on the proxy's behalf, once the proxy has acknowledged all that was sent to it.
        Left open it would reserve egress budget in the policy.
        """
        return proxy in self.withheld and proxy not in self.unsent

    def latency_ns(self, nonce: int, now: int) -> int:
        """Return the time since a nonce was commanded; 0 if that is no longer known."""
        return now - self.commanded_at_ns.get(nonce, now)
