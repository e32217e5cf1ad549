"""Stand-ins for the platform of nutmegtally-entry: the object store, servers and clients. They follow the operators' PROTOCOL.md and run as
threads of the script; the routers are processes of their own, started with the command and the settings template of the deploy file."""

import http.client
import json
import os
import pathlib
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
WAIT_STEP_S = 0.05


def serve(handle):
    """Starts a TCP server that calls handle(socket) in a thread for each connection. Returns its address."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            try:
                handle(self.request)
            except OSError:
                pass

    class Server(socketserver.ThreadingTCPServer):
        daemon_threads = True
        allow_reuse_address = True
        request_queue_size = 128

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]


def requests_of(sock):
    """Yields (method, target, headers, body) of each request on a connection."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            if not (chunk := sock.recv(65536)):
                return
            data += chunk
        head, data = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(headers.get("content-length", "0"))
        while len(data) < length:
            if not (chunk := sock.recv(65536)):
                return
            data += chunk
        body, data = data[:length], data[length:]
        yield method, target, headers, body


class Store:
    """The platform's store: lists and watches. While it is silent, calls that come are read and not answered, and the answer to a waiting
    watch is lost; a connection on which an answer was lost returns nothing further."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}  # by (kind, name)
        self.history = []  # (revision, kind, object, deleted)
        self.revision = 1
        self.is_silent = False
        self.lost_answers = 0
        self.address = serve(self.handle)

    def put(self, kind, name, spec):
        with self.changed:
            known = self.objects.get((kind, name))
            if known and known["spec"] == spec:
                return known["metadata"]["revision"]
            self.revision += 1
            created = known["metadata"]["created_rev"] if known else self.revision
            metadata = {"name": name, "revision": self.revision, "created_rev": created, "finalizers": [], "deleting": False}
            self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": None}
            self.history.append((self.revision, kind, self.objects[kind, name], False))
            self.changed.notify_all()
            return self.revision

    def handle(self, sock):
        is_dead = False
        for _, target, _, _ in requests_of(sock):
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            kind = url.path.removeprefix("/nutmegtally/objects/")
            if not self.is_silent:
                answer = self.watch(kind, query) if "watch" in query else self.page(kind, query)
            if is_dead or self.is_silent:
                is_dead = True
                self.lost_answers += 1
                continue
            body = json.dumps(answer).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def page(self, kind, query):
        with self.changed:
            names = sorted(name for each, name in self.objects if each == kind and name > query.get("after", ""))
            return {"items": [self.objects[kind, name] for name in names], "has_more": False, "as_of": self.revision}

    def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self.changed:
            while True:
                events = [{"object": each, "deleted": gone} for number, of, each, gone in self.history if of == kind and number > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "as_of": self.revision}
                self.changed.wait(min(left, WAIT_STEP_S))


class Server:
    """A server of a service without a model. Records the requests that it runs."""

    def __init__(self, instance, record):
        self.instance = instance
        self.record = record
        self.runs = []  # (time, request id)
        self.address = serve(self.handle)

    def handle(self, sock):
        for method, _, headers, _ in requests_of(sock):
            request = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.instance) != self.instance:
                sock.sendall(f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            self.runs.append((time.monotonic(), request))
            self.record(f"{self.instance} runs {method} {request} for {headers.get('x-tenant', '-')}")
            time.sleep(0.02)
            fields = f"X-Request-Id: {request}\r\nX-Server-Stamp: {self.instance}.{request}\r\nX-Server-Load: 1,0,6\r\nContent-Length: 3\r\n"
            sock.sendall(f"HTTP/1.1 200 OK\r\n{fields}\r\nok\n".encode())


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Router:
    """One process of the role `entry`, with the command and the settings template of deploy/system.toml."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.ports = {key: free_port() for key in ("frontend", "ready", "control", "metrics")}
        self.ports["load"] = free_port(socket.SOCK_DGRAM)
        self.process = None

    def address(self, key):
        return f"127.0.0.1:{self.ports[key]}"

    def write_settings(self, template, folder, seeds, store):
        # The ranges of the template are two ports of one address, one for the metrics and one for datagrams.
        values = {
            "node_name": self.name, "zone": self.zone, "bind.frontend": self.address("frontend"), "bind.ready": self.address("ready"),
            "bind.control": self.address("control"), "ip": "127.0.0.1", "port_range.0": self.ports["metrics"], "port_range.1": self.ports["load"],
            "seeds|json": json.dumps(seeds), "provider.address": store, "bootstrap": "true", "bounds.retry_ratio": 0.2,
            "bounds.retry_slack": 56, "bounds.retry_window_s": 10, "bounds.grace_s": 8, "limits.max_fds": 4100,
        }
        begin, end = "{{#bounds.canary_share}}", "{{/bounds.canary_share}}"
        text = template[:template.index(begin)] + template[template.index(end) + len(end):]
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        self.settings = folder / f"{self.name}.settings"
        self.settings.write_text(text)

    def start(self, command, folder):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env={**environment, "NUTMEGTALLY_BOOT": str(self.settings)}, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            return get(self.ports["ready"], "/nutmegtally/ready", {}, 0.5)[0] == 200
        except OSError:
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """The routers of a deployment."""

    def __init__(self, zones, store):
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        self.routers = [Router(f"edge-{zone}-{i + 1}", zone) for zone, count in zones.items() for i in range(count)]
        seeds = [next(router for router in self.routers if router.zone == zone).address("control") for zone in zones]
        for router in self.routers:
            router.write_settings(template, self.folder, seeds, store.address)
        self.command = role["run"].split(" ")

    def start(self):
        for router in self.routers:
            router.start(self.command, self.folder)

    def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() >= end:
                raise RuntimeError("the routers are not ready")
            time.sleep(0.05)

    def close(self):
        for router in self.routers:
            router.stop()
        self.temporary.cleanup()


def get(port, path, headers, timeout):
    """Sends a GET on a new connection. Returns (status, body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as fault:
        raise OSError(str(fault)) from fault
    finally:
        connection.close()


def configuration(version, keys):
    """A configuration with one service and one route for each kind without a model."""

    def route(name, kind, attempts):
        return {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 1500, "latency_goal_ms": 300,
                "priority": 2, "service": "dispatch-app", "max_attempts": attempts, "public": False, "sticky": False, "resumable": False}

    return {"version": version, "routes": [route("booking", "non_idempotent", 1), route("history", "idempotent", 2)],
            "services": [{"name": "dispatch-app", "health_path": "/health", "max_conns": 110, "cold_s": 0.0, "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys)}]}


def server_entry(server, zone):
    return {"service": "dispatch-app", "address": server.address, "zone": zone, "version": "v1", "capacity": 6, "state": "ready", "warmup_ms": 0,
            "sequence": 1, "born": int(time.time() * 1000)}
