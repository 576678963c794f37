"""An instance of the control plane under test, as a separate process or inside this one."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any

from swiftchute.config import load
from swiftchute.observability.logging import configure_logging

TERMINATION_TIMEOUT_S = 5

PolicyFactory = Callable[..., Any]


class Instance:
    """One instance, which can be started again after it ended."""

    def __init__(self, number: int, path: str, log_path: str, policy: PolicyFactory | str | None) -> None:
        """Create an instance that is not started.

        Args:
            number: Its index.
            path: Path of its settings file.
            log_path: Path that the output of its process is appended to.
            policy: A policy in place of the default: a factory makes the instance run inside this process, a
                name (`package.module:Class`) is passed to the separate process.
        """
        self.log_path = log_path
        self._number = number
        self._path = path
        self._policy = policy
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the instance."""
        if callable(self._policy):
            await self._start_in_this_process(self._policy)
        else:
            await self._start_process(self._policy)

    async def _start_in_this_process(self, policy: PolicyFactory) -> None:
        from swiftchute.daemon.service import Service

        service = Service(load(self._path), configure_logging("error", planner=self._number), policy)
        ready = asyncio.get_running_loop().create_future()
        self._task = asyncio.ensure_future(service.run(ready.set_result, signals=False))
        await asyncio.wait({ready, self._task}, return_when=asyncio.FIRST_COMPLETED)

    async def _start_process(self, policy: str | None) -> None:
        command = [sys.executable, "-m", "swiftchute", "serve", self._path]
        if policy:
            command += ["--decider", policy]
        with open(self.log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, stderr=log, stdout=log, stdin=asyncio.subprocess.DEVNULL
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: int = signal.SIGTERM) -> None:
        """End the instance; its process gets a signal, and is killed if it outlives the timeout."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            await asyncio.wait_for(self._process.wait(), TERMINATION_TIMEOUT_S)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
