"""Stand-ins for the review's cases: the platform's store, servers, clients, and the router processes of the deploy file.

Everything runs on loopback and the real clock. The store and the servers are threads of the case's own process; each router is a
process of its own, started with the command, the template and the environment variable of the deploy file.
"""

import json
import os
import pathlib
import random
import re
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployment in the pages (site plpic-tally).
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "apply_ms": 2000, "recovery_s": 12, "grace_s": 8, "evacuate_ms": 5000,
          "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10}


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def reset(sock) -> None:
    """Closes a connection with a TCP reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


class HttpReader:
    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def more(self) -> bool:
        try:
            chunk = self.sock.recv(65536)
        except OSError:
            return False
        self.data += chunk
        return bool(chunk)

    def head(self):
        while b"\r\n\r\n" not in self.data:
            if not self.more():
                return None
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        return lines[0], {n.strip().lower(): v.strip() for n, v in (line.split(":", 1) for line in lines[1:])}

    def take(self, count: int):
        while len(self.data) < count:
            if not self.more():
                return None
        part, self.data = self.data[:count], self.data[count:]
        return part

    def line(self):
        while b"\r\n" not in self.data:
            if not self.more():
                return None
        line, self.data = self.data.split(b"\r\n", 1)
        return line


def serve(handle, port=0):
    """Accepts connections on a loopback port and calls handle(socket, method, target, headers, body) for each request."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = HttpReader(self.request)
            while (head := reader.head()) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = reader.take(int(head[1].get("content-length", "0")))
                if body is None or not handle(self.request, method, target, head[1], body):
                    return

    class Server(socketserver.ThreadingTCPServer):
        daemon_threads = True
        allow_reuse_address = True
        request_queue_size = 256

        def handle_error(self, request, client_address):
            pass  # a peer that was killed or reset its connection

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


class Store:
    """The platform's store: list with pages of 500, watch, one revision counter, linearizable, 4 ms an answer, 20 s of history."""

    PAGE = 500
    ANSWER_S = 0.004
    HISTORY_S = 20

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.objects, self.history, self.revision, self.oldest = {}, [], 10, 10
        self.before_page = None  # called with (kind, after) before a page is read: other writers are active meanwhile
        self.server = serve(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def put(self, kind: str, name: str, spec) -> float:
        """Returns the time of the acknowledgement."""
        with self.lock:
            self.revision += 1
            known = self.objects.get((kind, name))
            created = known["metadata"]["created_rev"] if known else self.revision
            self.objects[kind, name] = {"metadata": {"name": name, "revision": self.revision, "created_rev": created, "finalizers": [],
                                                     "deleting": False}, "spec": spec, "status": None}
            self._add(kind, self.objects[kind, name], False)
            return self.record.now()

    def delete(self, kind: str, name: str) -> float:
        with self.lock:
            gone = self.objects.pop((kind, name), None)
            if gone is not None:
                self.revision += 1
                self._add(kind, {**gone, "metadata": {**gone["metadata"], "revision": self.revision}}, True)
            return self.record.now()

    def _add(self, kind, obj, deleted):
        self.history.append((time.monotonic(), self.revision, kind, obj, deleted))
        while self.history and self.history[0][0] < time.monotonic() - self.HISTORY_S:
            self.oldest = self.history.pop(0)[1]
        self.lock.notify_all()

    def handle(self, sock, method, target, headers, body) -> bool:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix("/nutmegtally/objects/").split("/")
        if method != "GET" or not url.path.startswith("/nutmegtally/objects/"):
            status, answer = 404, {}
        elif len(path) == 2:
            with self.lock:
                answer = self.objects.get((path[0], path[1]))
            status, answer = (404, {}) if answer is None else (200, answer)
        elif "watch" in query:
            status, answer = self.watch(path[0], int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        else:
            status, answer = self.page(path[0], query.get("after", ""))
        time.sleep(self.ANSWER_S)
        data = self.encode(answer)
        sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
        return True

    def encode(self, answer) -> bytes:
        return json.dumps(answer).encode()

    def page(self, kind, after):
        if self.before_page:
            self.before_page(kind, after)
        with self.lock:
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            page = names[:self.PAGE]
            return 200, {"items": [self.objects[kind, n] for n in page], "has_more": len(names) > len(page), "as_of": self.revision}

    def watch(self, kind, since, wait_s):
        end = time.monotonic() + min(wait_s, 30)
        with self.lock:
            while True:
                if since < self.oldest:
                    return 410, {}
                events = [{"object": o, "deleted": d} for _, r, k, o, d in self.history if k == kind and r > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                self.lock.wait(left)


class Upstream:
    """A server: an engine that answers with a stream of events, or a plain one. It registers itself in the store.

    While `full` is set, it rejects requests with 503 and X-Not-Executed. crash() and stop() end it.
    """

    def __init__(self, store, record, name, service, zone, events=0, gap_s=0.03, capacity=64, register=True):
        self.store, self.record, self.name, self.events, self.gap_s = store, record, name, events, gap_s
        self.lock = threading.Lock()
        self.runs = []  # (time, request id, headers)
        self.full = False
        self.running = set()  # request ids
        self.state = "ready"
        self.open = set()
        self.dead = False
        self.server = serve(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        self.entry = {"service": service, "address": self.address, "zone": zone, "version": "v1", "capacity": capacity, "state": "ready",
                      "warmup_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
        if register:
            self.register()

    def register(self):
        return self.store.put("servers", self.name, self.entry)

    def drain(self) -> float:
        """Reports draining; returns the time of the store's acknowledgement."""
        self.state = "draining"
        self.entry = {**self.entry, "state": "draining", "sequence": self.entry["sequence"] + 1}
        return self.store.put("servers", self.name, self.entry)

    def crash(self):
        """The process ends: the open connections are reset, and its port refuses further ones."""
        self.dead = True
        self.server.socket.close()
        with self.lock:
            for sock in self.open:
                reset(sock)
        self.server.shutdown()

    def handle(self, sock, method, target, headers, body) -> bool:
        if self.dead:
            reset(sock)
            return False
        with self.lock:
            self.open.add(sock)
        request = headers.get("x-request-id", "")
        leaving = "Server-Leaving: 1\r\n" if self.state == "draining" else ""
        if target in ("/health", "/nutmegtally/kv-list"):
            data = json.dumps({"epoch": 1, "next": 1, "held": []}).encode() if "kv-list" in target else b""
            sock.sendall(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
            return True
        load = f"{len(self.running)},0" if not self.full else f"{self.entry['capacity']},4"
        head = f"X-Request-Id: {request}\r\nX-Server-Load: {load},{self.entry['capacity']}\r\n{leaving}"
        if headers.get("x-expect-instance", self.name) != self.name:
            sock.sendall(f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.name}\r\n{head}Content-Length: 0\r\n\r\n".encode())
            return True
        if self.full:
            self.record(f"{self.name}: rejects {request} as full, 503 with X-Not-Executed: 1")
            sock.sendall(f"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{head}Content-Length: 0\r\n\r\n".encode())
            return True
        with self.lock:
            self.runs.append((self.record.now(), request, headers))
        stamp = f"X-Server-Stamp: {self.name}.{request}\r\n"
        if self.events == 0:
            self.record(f"{self.name}: runs {method} {target} {request}")
            time.sleep(0.01)
            payload = f"{request} done".encode()
            sock.sendall(f"HTTP/1.1 200 OK\r\n{head}{stamp}Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
            return True
        with self.lock:
            self.running.add(request)
        try:
            return self.stream(sock, method, target, request, headers, head + stamp)
        finally:
            with self.lock:
                self.running.discard(request)

    def stream(self, sock, method, target, request, headers, head) -> bool:
        first = int(headers.get("last-event-id", "0")) + 1
        self.record(f"{self.name}: runs {method} {target} {request} from event {first} on")
        try:
            sock.sendall(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {request} {number} of {self.events}\n\n"
                sock.sendall(f"{len(event):x}\r\n{event}\r\n".encode())
                time.sleep(self.gap_s)
            sock.sendall(b"0\r\n\r\n")
        except OSError:
            self.record(f"{self.name}: {'crashed while it ran' if self.dead else 'the router closed the connection of'} {request}")
            return False
        self.record(f"{self.name}: has sent all {self.events} events of {request}")
        return True


def free_port(kind=socket.SOCK_STREAM) -> int:
    """An unused port below the ephemeral range, from which a connection could take a port while its router is down."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def render(template: str, fields: dict) -> str:
    """Fills in a settings template as DEPLOY.md describes; only the placeholders that the project's template uses."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if form == "json" or isinstance(found, (dict, bool)):
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Router:
    """A router process as the platform starts it."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.port, self.ready_port, self.control_port, self.metrics_port = (free_port() for _ in range(4))
        self.load_port = free_port(socket.SOCK_DGRAM)
        self.boot = deployment.folder / f"{name}.settings"
        self.log = deployment.folder / f"{name}.log"
        self.process = None
        self.store_address = deployment.store.address

    def start(self, bootstrap: bool) -> None:
        at = "127.0.0.1:%d"
        fields = {"node_name": self.name, "zone": self.zone, "ip": "127.0.0.1", "port_range": [self.metrics_port, self.load_port],
                  "bind": {"frontend": at % self.port, "ready": at % self.ready_port, "control": at % self.control_port},
                  "seeds": [at % r.control_port for r in self.deployment.routers[:3]], "bootstrap": bootstrap,
                  "provider": {"address": self.store_address}, "bounds": BOUNDS, "limits": {"max_fds": 4100}}
        role = self.deployment.role
        self.boot.write_text(render((ROOT / role["template"]).read_text(), fields))
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, stdout=out, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                            env={**environment, "NUTMEGTALLY_BOOT": str(self.boot)})

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        try:
            answer = call(self.ready_port, "GET", "/nutmegtally/ready", {"Host": "ready"}, timeout=0.8)
            return answer.status == 200
        except OSError:
            return False


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False


def call(port, method, path, headers, body=b"", timeout=8.0) -> Answer:
    """Sends one request on a new connection, as a client. `complete`: the answer ended as HTTP/1.1 marks the end of an answer."""
    answer = Answer()
    with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
        sock.settimeout(timeout)
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        text += f"Content-Length: {len(body)}\r\n" if body else ""
        sock.sendall(text.encode() + b"\r\n" + body)
        reader = HttpReader(sock)
        head = reader.head()
        if head is None:
            return answer
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if answer.headers.get("transfer-encoding") != "chunked":
            part = reader.take(int(answer.headers.get("content-length", "0")))
            answer.body, answer.complete = part or reader.data, part is not None
            return answer
        while (line := reader.line()) is not None:
            size = int(line, 16)
            part = reader.take(size + 2)
            if part is None:
                answer.body += reader.data
                break
            answer.body += part[:size]
            if size == 0:
                answer.complete = True
                break
    return answer


class Deployment:
    """A small deployment: the store, the servers that a case adds, and three routers in three zones."""

    ZONES = ("north-pl", "central-cp", "south-mb")

    def __init__(self, folder, configuration):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        # The deploy file has one role.
        self.role = dict(re.findall(r'^(run|template) = "([^"]*)"', (ROOT / "deploy/system.toml").read_text(), re.MULTILINE))
        if not (ROOT / self.role["run"].split()[0]).exists():
            print("the router is not built: " + self.role["run"])
            sys.exit(2)
        self.store = Store(self.record)
        self.store.put("config", "main", configuration)
        self.routers = []
        self.paths = []  # what the routers reach the store through, if it is not the store's own address
        signal.signal(signal.SIGTERM, self.interrupted)

    def start_routers(self, count=3) -> None:
        self.routers = [Router(self, f"edge-{self.ZONES[i % 3]}-{i + 1}", self.ZONES[i % 3]) for i in range(count)]
        for router, path in zip(self.routers, self.paths):
            router.store_address = path.address
        for router in self.routers:
            router.start(bootstrap=True)
        if not self.wait_ready(15):
            self.record("the routers did not become ready")
            self.close()
            print("the routers did not become ready")
            sys.exit(2)

    def interrupted(self, *_) -> None:
        self.close()
        os._exit(2)

    def wait_ready(self, seconds) -> bool:
        end = time.monotonic() + seconds
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
        return True

    def close(self) -> None:
        for router in self.routers:
            router.kill()
        self.temporary.cleanup()


def route(name, kind, service, **more):
    return {"name": name, "host": "co-op.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 10000, "latency_goal_ms": 500,
            "priority": 1, "service": service, "max_attempts": 1, "public": False, "sticky": kind == "streaming", "resumable": False,
            "gap_aim_ms": 600, **more}


def configuration(routes, version=7):
    return {"version": version, "routes": routes,
            "services": [{"name": "tally-llm", "health_path": "/health", "max_conns": 370, "cold_s": 3.0, "cold_per_s": 8.9,
                          "engine": {"capacity": 64, "kv_capacity_tokens": 389939, "token_kv_bytes": 18432, "link_mbps": 180000.0}},
                         {"name": "dispatch-app", "health_path": "/health", "max_conns": 110, "cold_s": 0.0, "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}]}


def client_headers(request, deadline_ms, prompt=None):
    headers = {"Host": "co-op.example", "X-Request-Id": request, "X-Deadline-Ms": str(deadline_ms), "X-Credential": "n2ctnfzs989anu6wsjnb"}
    if prompt:
        headers |= {"X-Model": "m", "X-Token-Counts": "830,80", "X-Prompt-Prefix": prompt}
    return headers


def run(main) -> None:
    """Exits with what main() returns: 1 if the rule was broken, 0 if it held; 2 if the case could not run."""
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)  # threads of stand-ins may still wait
