"""Sources of endpoint lists: a file or a URL, each polled at an interval.

A source calls `on_list(data)` for each list that it reads, and `on_failure(cause)` if it cannot read one.
"""

import asyncio
import os
import random
from collections.abc import Callable
from typing import NamedTuple

import httpx

from swiftchute.discovery.backoff import Backoff
from swiftchute.discovery.errors import SourceError

NS_PER_S = 1_000_000_000
MAX_LIST_BYTES = 64 * 2**20
HTTP_OK = 200
FIRST_BACKOFF_INTERVALS = 2  # longest wait after the first failed poll, in poll intervals
MAX_BACKOFF_INTERVALS = 8  # longest wait after any number of failed polls, in poll intervals
RESPONSE_TIMEOUT_FACTOR = 2  # time limit of a whole response / timeout of a single read


class _FileStamp(NamedTuple):
    modified_ns: int
    size_bytes: int
    inode: int


class FileSource:
    """A file in Prometheus' file_sd format, read when it has been changed or replaced."""

    def __init__(
        self,
        path: str,
        interval_ns: int,
        on_list: Callable[[bytes], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Read nothing yet.

        Args:
            path: Path of the file.
            interval_ns: Time between two polls of the file, nanoseconds.
            on_list: Called with the content of a changed file.
            on_failure: Called with the cause of a failure, and again only if the cause changes.
        """
        self.path = path
        self.interval_ns = interval_ns
        self.on_list = on_list
        self.on_failure = on_failure
        self._last_stamp: _FileStamp | None = None
        self._last_failure = ""

    def poll(self) -> None:
        """Read the file if it has changed since the last read."""
        try:
            data = self._read_if_changed()
        except OSError as error:
            self._last_stamp = None
            if str(error) != self._last_failure:
                self._last_failure = str(error)
                self.on_failure(f"{self.path}: {error.strerror or error}")
            return
        if data is not None:
            self._last_failure = ""
            self.on_list(data)

    def _read_if_changed(self) -> bytes | None:
        """Return the content of the file, or None if it has not changed; raises OSError."""
        with open(self.path, "rb") as file:
            status = os.fstat(file.fileno())
            stamp = _FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
            if stamp == self._last_stamp:
                return None
            if stamp.size_bytes > MAX_LIST_BYTES:
                raise OSError(f"the file has {stamp.size_bytes} bytes; the limit is {MAX_LIST_BYTES}")
            data = file.read(MAX_LIST_BYTES)
        self._last_stamp = stamp
        return data

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self.poll()
            await asyncio.sleep(self.interval_ns / NS_PER_S)


class HttpSource:
    """A URL that serves Prometheus' http_sd format, polled at an interval; backs off after failures."""

    def __init__(
        self,
        url: str,
        interval_ns: int,
        timeout_ns: int,
        on_list: Callable[[bytes], None],
        on_failure: Callable[[str], None],
        seed: int,
    ) -> None:
        """Request nothing yet.

        Args:
            url: URL of the list.
            interval_ns: Time between two polls, nanoseconds.
            timeout_ns: Timeout of connecting and of each read of a response, nanoseconds.
            on_list: Called with the body of each response.
            on_failure: Called with the cause of each failed poll.
            seed: Seed for the jitter of the backoff.
        """
        self.url = url
        self.interval_ns = interval_ns
        self.timeout_s = timeout_ns / NS_PER_S
        self.on_list = on_list
        self.on_failure = on_failure
        self._backoff = Backoff(
            FIRST_BACKOFF_INTERVALS * interval_ns, MAX_BACKOFF_INTERVALS * interval_ns, random.Random(seed)
        )

    async def run(self) -> None:
        """Poll until cancelled."""
        async with httpx.AsyncClient(timeout=self.timeout_s, trust_env=False) as client:
            while True:
                wait_ns = await self._poll(client)
                await asyncio.sleep(wait_ns / NS_PER_S)

    async def _poll(self, client: httpx.AsyncClient) -> int:
        """Request the list once; return the wait until the next poll, nanoseconds."""
        try:
            # the client's timeout applies to each read: it does not end a response that arrives byte by byte
            async with asyncio.timeout(RESPONSE_TIMEOUT_FACTOR * self.timeout_s):
                data = await self._fetch(client)
        except (httpx.HTTPError, ValueError, TimeoutError) as error:
            self.on_failure(f"{self.url}: {error or type(error).__name__}")
            return self._backoff.next_wait_ns()
        self._backoff.reset()
        self.on_list(data)
        return self.interval_ns

    async def _fetch(self, client: httpx.AsyncClient) -> bytes:
        """Return the body of a response; raises `SourceError` if its status or its size is refused."""
        data = bytearray()
        async with client.stream("GET", self.url) as response:
            if response.status_code != HTTP_OK:
                raise SourceError(f"HTTP status {response.status_code}, expected {HTTP_OK}")
            async for chunk in response.aiter_bytes():
                data += chunk
                if len(data) > MAX_LIST_BYTES:
                    raise SourceError(f"the response has more than {MAX_LIST_BYTES} bytes")
        return bytes(data)
