"""The process of a proxy: its router, its server, its control plane client and its table cache."""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Any

from swiftchute.config.proxy import ProxyConfig
from swiftchute.proxy.control_client import ControlPlaneClient
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.request import RequestRouter
from swiftchute.proxy.server import ProxyServer
from swiftchute.proxy.table_cache import TableCache
from swiftchute.proxy.xds_client import XdsClient

SAVE_INTERVAL_S = 1.0  # bounds the delay until a change is on disk, and the write rate if tables change often
USER_AGENT = "swiftchute-proxy"


class RouterControlPlaneClient(ControlPlaneClient):
    """A control plane client that applies received tables to the router and logs its connections."""

    def __init__(self, *arguments: Any, router: RequestRouter, log: Any) -> None:
        """Takes the arguments of `ControlPlaneClient`; `router` is updated after each response."""
        super().__init__(*arguments)
        self.router = router
        self.log = log

    def on_stream_opened(self, server: str, stream: int) -> None:
        """Log the connection to a control plane server."""
        self.log.info("connected to control plane", planner=server, stream=stream)

    def on_stream_closed(self, server: str, stream: int) -> None:
        """Log the loss of the connection; the proxy continues to use its tables."""
        tables = len(self.router.tables)
        self.log.warning("connection to control plane lost", planner=server, stream=stream, tables=tables)

    def on_applied(self) -> None:
        """Apply the received tables, from the next request on."""
        self.router.update_tables()


class Daemon:
    """Runs one proxy until it is stopped."""

    def __init__(self, config: ProxyConfig, log: Any) -> None:
        """Create the components; sockets and connections are opened by `run`."""
        self.log = log
        self.client = XdsClient(
            config.node,
            config.zone,
            config.request_rate_per_s,
            config.delta,
            config.endpoint_collections,
            agent=USER_AGENT,
        )
        self.client.static_endpoints = dict.fromkeys(config.static_endpoints, 1)
        self.router = RequestRouter(self.client, config.routes, config.limits, config.seed)
        self.table_cache: TableCache | None = None
        if config.cache_path:
            self.table_cache = TableCache(config.cache_path, config.cache_max_age_ns)
        self.server = ProxyServer(self.router, config.server)
        self.control_plane = RouterControlPlaneClient(
            self.client, config.control_plane_servers, config.seed, router=self.router, log=log
        )
        self.stop = asyncio.Event()
        self.address: tuple[str, int] | None = None

    async def run(self, ready: Callable[[tuple[str, int]], None] | None = None, signals: bool = True) -> None:
        """Serve until SIGTERM or SIGINT arrives or the task is cancelled.

        Args:
            ready: Called with the listening address once connections are accepted.
            signals: Whether to install handlers for these signals.
        """
        for number in (signal.SIGTERM, signal.SIGINT) if signals else ():
            asyncio.get_running_loop().add_signal_handler(number, self.stop.set)
        self._load_tables()
        self.router.update_tables()
        self.address = await self.server.start()
        self.log.info("serving", address=f"{self.address[0]}:{self.address[1]}")
        self.control_plane.start()
        saving = asyncio.ensure_future(self._save_periodically())
        if ready is not None:
            ready(self.address)
        try:
            await self.stop.wait()
        finally:
            saving.cancel()
            await self._shut_down()

    async def _shut_down(self) -> None:
        await self.control_plane.stop()
        await self.server.stop()
        if self.table_cache is not None:
            self._save_tables(self.table_cache, dict(self.client.tables))
        router = self.router
        attempts = {str(result): count for result, count in router.attempt_counts.items()}
        rejections = {f"turned {cause}": count for cause, count in router.rejection_counts.items()}
        self.log.info(
            "stopped",
            counts=attempts | rejections,
            tries_denied=router.retry_budget.denied,
            avoided=router.ejector.ejection_count,
            callers_refused=self.server.rejected_connections,
        )

    def _load_tables(self) -> None:
        if self.table_cache is None:
            return
        self.client.tables = self.table_cache.load(time.time_ns())
        self.log.info("cached tables loaded", tables=len(self.client.tables), why=self.table_cache.last_error)

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if self.table_cache is not None:
                # in a thread: a slow disk must not delay requests
                await asyncio.to_thread(self._save_tables, self.table_cache, dict(self.client.tables))

    def _save_tables(self, cache: TableCache, tables: dict[str, EndpointTable]) -> None:
        previous_error = cache.last_error
        if not cache.save(tables, time.time_ns()) and cache.last_error != previous_error:
            self.log.warning("tables not cached", cause=cache.last_error)
