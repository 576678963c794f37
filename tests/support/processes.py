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


PLANNER = """
service {{
  zones = ["z"]
  zone = "z"
  proxies = 400
  standing_lines = 6
  seed = 7
}}
operation "read" {{
  latency_objective = "1s"
  integration_timeout = "2s"
  billed_value = 1
  repeats = "idempotent"
}}
rules {{
  drain_grace = "3s"
  start_capacity = 0.2
  warm_within = "8s"
  fall_multiple = 2.5
  fall_span = "2s"
  bare_limit = "3s"
}}
channel {{
  pace = 10000
  limit = 20000
  message_lines = 6
}}
reports {{
  period = "200ms"
  lines = 200
}}
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
    file.write_text(PLANNER.format(**paths, **ports))
    process = Process(["-m", "swiftchute", "serve", str(file)], ("127.0.0.1", ports["xds"]))
    return process, ports, paths


class Backend(threading.Thread):
    """An HTTP/1.1 server that answers each request with 200; `requests` holds their paths."""

    body, delay_s = b"ok", 0.0

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        self.requests = []
        self.start()

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        data = b""
        with contextlib.suppress(OSError):
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
    ports = {"port": free_port(), "xds": free_port(), "backend": backend.port}
    file = Path(directory, "proxy.hcl")
    file.write_text(PROXY.format(**ports))
    process = Process(["-m", "swiftchute", "proxy", str(file)], ("127.0.0.1", ports["port"]))
    return process, ("127.0.0.1", ports["port"]), backend
