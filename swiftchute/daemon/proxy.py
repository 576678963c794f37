"""A proxy as a process: its core, its sockets, the way to its planners, and the tables it keeps on disk."""

import asyncio
import signal
import time
from typing import Any

from swiftchute.config.proxy import ProxyConfig
from swiftchute.proxy.control_client import Link
from swiftchute.proxy.request import Core
from swiftchute.proxy.server import Proxy
from swiftchute.proxy.table_cache import Keep
from swiftchute.proxy.xds_client import Client, Table

SAVE_EVERY = 1.0  # seconds: a change is on disk so soon, and a busy planner writes no disk full


class Planners(Link):
    """The link of a proxy that runs: its core follows what the client takes in."""

    def __init__(self, *given: Any, core: Core, log: Any) -> None:
        """As `Link`; `core` is told of changes."""
        super().__init__(*given)
        self.core, self.log = core, log

    def opened(self, planner: str, stream: int) -> None:
        """Joined."""
        self.log.info("joined", planner=planner, stream=stream)

    def closed(self, planner: str, stream: int) -> None:
        """The tables stay as they are."""
        self.log.warning("planner lost", planner=planner, stream=stream, tables=len(self.core.tables))

    def applied(self) -> None:
        """What was taken in holds from the next invocation on."""
        self.core.changed()


class Daemon:
    """Runs one proxy until it is told to stop."""

    def __init__(self, config: ProxyConfig, log: Any) -> None:
        """Nothing is open before `run`."""
        p = self.plumbing = config.proxy
        self.log = log
        self.client = Client(
            p["name"], p["zone"], p["rate"], p["form"] == "delta", p["lines"], agent="swiftchute-proxy"
        )
        self.client.standing = {f"{host}:{port}": 1 for host, port in p["standing"]}
        self.core = Core(self.client, config.operations, config.limits, p["seed"])
        self.keep = Keep(p["keep"], p["keep_for"]) if p["keep"] else None
        self.proxy = Proxy(self.core, p)
        self.planners = Planners(self.client, p["planners"], p["seed"], core=self.core, log=log)
        self.stop = asyncio.Event()
        self.address: tuple[str, int] | None = None

    async def run(self, ready: Any = None, signals: bool = True) -> None:
        """Serve until SIGTERM or SIGINT, or cancelled; `ready(address)` once callers are taken."""
        for number in (signal.SIGTERM, signal.SIGINT) if signals else ():
            asyncio.get_running_loop().add_signal_handler(number, self.stop.set)
        if self.keep is not None:
            self.client.tables = self.keep.load(time.time_ns())
            self.log.info("kept tables", tables=len(self.client.tables), why=self.keep.why)
        self.core.changed()
        self.address = await self.proxy.start()
        self.log.info("serving", address=f"{self.address[0]}:{self.address[1]}")
        self.planners.start()
        saving = asyncio.ensure_future(self._save())
        if ready is not None:
            ready(self.address)
        try:
            await self.stop.wait()
        finally:
            saving.cancel()
            await self.planners.stop()
            await self.proxy.stop()
            if self.keep is not None:
                self._saved(self.keep, dict(self.client.tables))
            counts = dict(self.core.ends) | {f"turned {k}": v for k, v in self.core.turned.items()}
            self.log.info("stopped", counts=counts, tries_denied=self.core.budget.denied,
                          avoided=self.core.avoided.runs, callers_refused=self.proxy.turned_away)  # fmt: skip

    async def _save(self) -> None:
        while True:
            await asyncio.sleep(SAVE_EVERY)
            if self.keep is not None:
                # off the loop: a slow disk must not hold an invocation up
                await asyncio.to_thread(self._saved, self.keep, dict(self.client.tables))

    def _saved(self, keep: Keep, tables: dict[str, Table]) -> None:
        before = keep.why
        if not keep.save(tables, time.time_ns()) and keep.why != before:
            self.log.warning("tables not kept", cause=keep.why)
