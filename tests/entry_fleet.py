"""Starts nutmegtally-entry processes with stand-ins for the platform, for end-to-end and soak tests."""

import json
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

from platform_standin import Proxy, Store, Upstream, configuration, upstream_entry


PORTS = range(12000, 30000)  # below the ephemeral range, from which a connection could take a port before its router binds it
allocated_ports = set()
port_rng = random.SystemRandom()


def free_port(kind=socket.SOCK_STREAM) -> int:
    """An unused port that no earlier call returned."""
    while True:
        port = port_rng.choice(PORTS)
        if port in allocated_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        allocated_ports.add(port)
        return port


class Router:
    """One nutmegtally-entry process. A restart uses the same ports."""

    def __init__(self, fleet, name: str, domain: str):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.port, self.ready_port, self.peer_port, self.metrics_port = (free_port() for _ in range(4))
        self.load_port = free_port(socket.SOCK_DGRAM)
        self.settings = fleet.folder / f"{name}.json"
        self.log = fleet.folder / f"{name}.log"
        self.process = None

    def write_settings(self, seeds) -> None:
        address = "127.0.0.1:%d"
        self.settings.write_text(json.dumps({
            "name": self.name, "domain": self.domain, "listen": address % self.port, "readyListen": address % self.ready_port,
            "routersListen": address % self.peer_port, "loadListen": address % self.load_port, "metricsListen": address % self.metrics_port,
            "seeds": seeds, "objects": self.fleet.store_proxies[self.name].address, "shutdownSeconds": 6, **self.fleet.more_settings}))

    def start(self) -> None:
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen([str(self.fleet.binary), "--settings", str(self.settings)], stdout=out, stderr=subprocess.STDOUT,
                                           stdin=subprocess.DEVNULL)

    def is_ready(self) -> bool:
        try:
            status, _, _ = send_request(self.ready_port, "GET", "/ready", timeout=0.5)
            return status == 200
        except OSError:
            return False

    def send_signal(self, which) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(which)

    def stop(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                yield {"name": "not json", "text": line}


class Fleet:
    """Routers, the object API behind one proxy per router, and upstreams behind a proxy each."""

    def __init__(self, binary: pathlib.Path, routers: int = 2, engines: int = 2, desks: int = 2, seed: int = 1, more_settings=None):
        self.binary = binary
        self.more_settings = more_settings or {}
        self.temporary = tempfile.TemporaryDirectory(prefix="nutmegtally-entry-")
        self.folder = pathlib.Path(self.temporary.name)
        self.rng = random.Random(seed)
        self.store = Store()
        self.version = 1
        self.store.put("config", "main", configuration(self.version))
        self.upstreams, self.proxies, self.entries = {}, {}, {}
        for service, count in (("llm", engines), ("desk", desks)):
            for i in range(count):
                self.add_upstream(f"{service}-{i}", service, "north" if i % 2 == 0 else "south")
        self.store_proxies = {f"router-{i}": Proxy(self.store.address) for i in range(routers)}
        self.routers = [Router(self, name, "north" if i % 2 == 0 else "south") for i, name in enumerate(self.store_proxies)]
        seeds = [f"127.0.0.1:{r.peer_port}" for r in self.routers]
        for router in self.routers:
            router.write_settings(seeds)
            router.start()

    def add_upstream(self, name: str, service: str, domain: str, version: str = "v1", service_time_s: float = 0.01) -> Upstream:
        upstream = Upstream(name, random.Random(self.rng.random()))
        upstream.service_time_s = service_time_s
        self.upstreams[name] = upstream
        self.proxies[name] = Proxy(upstream.address)
        self.entries[name] = {**upstream_entry(service, self.proxies[name].address, domain, version=version), "born": 1, "sequence": 1}
        self.store.put("servers", name, self.entries[name])
        return upstream

    def remove_upstream(self, name: str) -> None:
        """Ends an upstream. What it received stays readable in `upstreams`."""
        del self.entries[name]
        self.proxies[name].close()
        self.store.delete("servers", name)

    def configure(self, **more) -> int:
        self.version += self.rng.randint(1, 3)
        self.store.put("config", "main", configuration(self.version, **more))
        return self.version

    def set_state(self, name: str, state: str) -> None:
        if (entry := self.entries.get(name)) is None:
            return  # it has ended
        restarts = entry["state"] == "draining" and state == "ready"  # a server that drains exits; its next start has another "born"
        changes = {"born": entry["born"] + 1, "sequence": 1} if restarts else {"sequence": entry["sequence"] + 1}
        self.entries[name] = {**entry, "state": state, **changes}
        self.store.put("servers", name, self.entries[name])

    def wait_ready(self, seconds: float = 10) -> None:
        end = time.monotonic() + seconds
        while not all(r.is_ready() for r in self.routers):
            if time.monotonic() >= end:
                logs = "\n".join(f"{r.name} ({r.process.poll()}): " + "\n".join(r.log.read_text(errors="replace").splitlines()[-8:]) for r in self.routers)
                raise AssertionError(f"routers are not ready\n{logs}")
            time.sleep(0.05)

    def close(self) -> None:
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.stop()
        self.temporary.cleanup()


def send_request(port: int, method: str, path: str, headers=None, body: bytes = b"", timeout: float = 8.0):
    """Sends a request on a new connection. Returns (status, headers, body); status 0 if the answer is incomplete."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        sock.settimeout(timeout)
        return exchange(sock, method, path, headers, body)


def exchange(sock, method, path, headers=None, body: bytes = b""):
    """Sends a request on an open connection. Returns as send_request()."""
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
    for name, value in (headers or {}).items():
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    sock.sendall(head.encode() + b"\r\n" + body)
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return 0, {}, b""
        data += chunk
    head_bytes, data = data.split(b"\r\n\r\n", 1)
    head_lines = head_bytes.decode("latin-1").split("\r\n")
    answer = {n.strip().lower(): v.strip() for n, v in (line.split(":", 1) for line in head_lines[1:])}
    status = int(head_lines[0].split(" ")[1])
    if answer.get("transfer-encoding") != "chunked":
        while len(data) < int(answer["content-length"]):
            chunk = sock.recv(65536)
            if not chunk:
                return 0, answer, data
            data += chunk
        return status, answer, data
    decoded = b""
    while True:
        while b"\r\n" not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return 0, answer, decoded
            data += chunk
        size, data = data.split(b"\r\n", 1)
        length = int(size, 16)
        while len(data) < length + 2:
            chunk = sock.recv(65536)
            if not chunk:
                return 0, answer, decoded + data
            data += chunk
        decoded += data[:length]
        data = data[length + 2:]
        if length == 0:
            return status, answer, decoded


def request_headers(request_id: str, key: str = "key-1", deadline_ms: int = 5000, subject: int = 1):
    return {"X-Request-Id": request_id, "X-Credential": key, "X-Deadline-Ms": str(deadline_ms), "X-Model": "m",
            "X-Token-Counts": "1400,80", "X-Prompt-Prefix": f"a1:500,{subject:x}b:800,{abs(hash(request_id)) % 2**32:x}:100"}
