"""Processes of `serve` and `proxy` in a directory of their own, and a server behind the proxy."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.support.hcl import ONE_ZONE
from tests.support.hostile_clients import connect
from tests.support.platform import ROOT, free_port


class Process:
    """A process of the program, started in a directory of its own."""

    def __init__(self, arguments, ready, environment=None):
        self.log = tempfile.NamedTemporaryFile("wb", suffix=".log")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, *arguments], cwd=ROOT, stdout=self.log, stderr=self.log,
            env=os.environ | (environment or {}),
        )  # fmt: skip
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError), connect(ready):
                time.sleep(0.5)
                return
            time.sleep(0.05)
        raise RuntimeError(f"not ready: {Path(self.log.name).read_text()[-2000:]}")

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self.log_bytes = os.path.getsize(self.log.name)
        self.log.close()


PLANNER = (
    ONE_ZONE
    + """
list "file" {{
  path = "{list}"
}}
xds {{
  listen = "127.0.0.1:{xds}"
}}
control {{
  socket = "{control}"
}}
dns {{
  listen = "127.0.0.1:{dns}"
  origin = "lots.example."
}}
"""
)
PROXY = """
proxy {{
  name = "gw"
  zone = "z"
  listen = "127.0.0.1:{port}"
  planners = ["127.0.0.1:{xds}"]
  standing = ["127.0.0.1:{backend}"]
}}
operation "read" {{
  timeout = "2s"
  repeats = "idempotent"
}}
"""


def start_serve(directory):
    paths = {"list": f"{directory}/workers.json", "control": f"{directory}/control.sock"}
    Path(paths["list"]).write_text(json.dumps([{"targets": ["127.0.0.1:9"], "labels": {"zone": "z"}}]))
    ports = {"xds": free_port(), "dns": free_port()}
    file = Path(directory, "planner.hcl")
    file.write_text(PLANNER.format(proxies=400, **paths, **ports))
    process = Process(["-m", "swiftchute", "serve", str(file)], ("127.0.0.1", ports["xds"]))
    return process, ports, paths


class ThreadedServer(threading.Thread):
    """A server that calls `serve_connection` for each connection, in a thread of its own."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = self.listener.getsockname()

    def run(self):
        with contextlib.suppress(OSError):  # the listener is closed
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError):
            self.serve_connection(connection)

    def stop(self):
        self.listener.close()


class Backend(ThreadedServer):
    """An HTTP/1.1 server that answers each request with 200; `requests` holds their paths."""

    body, delay_s = b"ok", 0.0

    def __init__(self):
        super().__init__()
        self.requests = []
        self.start()

    def serve_connection(self, connection):
        data = b""
        while received := connection.recv(1 << 16):
            data += received
            while b"\r\n\r\n" in data:
                head, data = data.split(b"\r\n\r\n", 1)
                self.requests.append(head.split(b" ")[1])
                time.sleep(self.delay_s)
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(self.body)
                connection.sendall(answer + self.body)


def start_proxy(directory):
    backend = Backend()
    ports = {"port": free_port(), "xds": free_port(), "backend": backend.address[1]}
    file = Path(directory, "proxy.hcl")
    file.write_text(PROXY.format(**ports))
    process = Process(["-m", "swiftchute", "proxy", str(file)], ("127.0.0.1", ports["port"]))
    return process, ("127.0.0.1", ports["port"]), backend
