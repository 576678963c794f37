"""Notices that a peer has closed a connection whose socket is not being read.

An event loop learns of a closed connection by reading it. A peer that leaves while its bytes wait unread
would go unnoticed until they are handled.
"""

import asyncio
import contextlib
import select
from collections.abc import Callable
from weakref import WeakKeyDictionary

_watchers: "WeakKeyDictionary[asyncio.AbstractEventLoop, DisconnectWatcher]" = WeakKeyDictionary()


def disconnect_watcher() -> "DisconnectWatcher":
    """Return the watcher of the running event loop."""
    loop = asyncio.get_running_loop()
    watcher = _watchers.get(loop)
    if watcher is None:
        watcher = _watchers[loop] = DisconnectWatcher(loop)
    return watcher


class DisconnectWatcher:
    """Calls back when the peer of a watched socket closes the connection or shuts down its sending side."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a watcher without sockets."""
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}  # by descriptor
        loop.add_reader(self._epoll.fileno(), self._on_events)

    def watch(self, descriptor: int, callback: Callable[[], None]) -> None:
        """Call back once the peer of a socket has closed."""
        with contextlib.suppress(OSError):  # a descriptor that is already closed
            self._epoll.register(descriptor, select.EPOLLRDHUP)
            self._callbacks[descriptor] = callback

    def forget(self, descriptor: int, callback: Callable[[], None]) -> None:
        """Stop to watch a socket; no-op if its descriptor belongs to another one by now."""
        if self._callbacks.get(descriptor) != callback:
            return
        del self._callbacks[descriptor]
        with contextlib.suppress(OSError):
            self._epoll.unregister(descriptor)

    def _on_events(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            callback = self._callbacks.get(descriptor)
            if callback is not None:
                self.forget(descriptor, callback)
                callback()
