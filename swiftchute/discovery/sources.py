"""Sources of lists: a file that is watched, or a URL that is asked. Each calls `took(text)` or
`failed(cause)`."""

import asyncio
import os
import random
from collections.abc import Callable

import httpx

S = 1_000_000_000
BYTES_MOST = 64 * 2**20  # a longer list is refused unread


class FileSource:
    """A file_sd file, looked at every `every` ns and read when it was changed or replaced."""

    def __init__(
        self, path: str, every: int, took: Callable[[bytes], None], failed: Callable[[str], None]
    ) -> None:
        """Nothing is read before `run`."""
        self.path, self.every, self.took, self.failed = path, every, took, failed
        self.seen: tuple[int, int, int] | None = None
        self.told = ""

    def look(self) -> None:
        """Read the file if it is not the one read last; a failure is told once until it changes."""
        try:
            with open(self.path, "rb") as source:
                at = os.fstat(source.fileno())
                stamp = (at.st_mtime_ns, at.st_size, at.st_ino)
                if stamp == self.seen:
                    return
                if at.st_size > BYTES_MOST:
                    raise OSError(f"{at.st_size} bytes; {BYTES_MOST} at most")
                text = source.read(BYTES_MOST)
        except OSError as why:
            self.seen = None
            if str(why) != self.told:
                self.told = str(why)
                self.failed(f"{self.path}: {why.strerror or why}")
            return
        self.seen, self.told = stamp, ""
        self.took(text)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(self.every / S)


class HttpSource:
    """An http_sd URL, asked every `every` ns; after failures the wait doubles, up to eight times, by
    chance."""

    def __init__(
        self,
        url: str,
        every: int,
        timeout: int,
        took: Callable[[bytes], None],
        failed: Callable[[str], None],
        seed: int,
    ) -> None:
        """Nothing is asked before `run`."""
        self.url, self.every, self.timeout, self.took, self.failed = url, every, timeout / S, took, failed
        self.random, self.lost = random.Random(seed), 0

    async def _ask(self, client: httpx.AsyncClient) -> bytes:
        text = bytearray()
        async with client.stream("GET", self.url) as answer:
            if answer.status_code != 200:
                raise ValueError(f"status {answer.status_code}")
            async for part in answer.aiter_bytes():
                text += part
                if len(text) > BYTES_MOST:
                    raise ValueError(f"more than {BYTES_MOST} bytes")
        return bytes(text)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with httpx.AsyncClient(timeout=self.timeout, trust_env=False) as client:
            while True:
                try:
                    # the time-out is for the whole answer: one that drips must not stop the asking
                    async with asyncio.timeout(2 * self.timeout):
                        text = await self._ask(client)
                except (httpx.HTTPError, ValueError, TimeoutError) as why:
                    self.lost += 1
                    self.failed(f"{self.url}: {why or type(why).__name__}")
                else:
                    self.lost = 0
                    self.took(text)
                wait = self.every * min(2**self.lost, 8) / S
                await asyncio.sleep(wait * self.random.uniform(0.5, 1.0) if self.lost else wait)
