"""Helpers of the end-to-end tests: processes on kernel-chosen loopback ports, HTTP calls, polling with a time limit."""

import hashlib
import http.client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

# A test that gets SIGTERM at its time limit must still end its processes.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))

BINARIES = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build-dev/programs").resolve()


def wait_for(condition, seconds: float, what: str):
    """Polls until condition() is true and returns its value; fails with `what` at the time limit."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(0.02)


def call(port: int, method: str, path: str, body=None, headers=None, timeout: float = 10.0):
    """One HTTP call on a new connection. Returns (status, headers, body as text)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


def call_json(port: int, method: str, path: str, body=None, headers=None, timeout: float = 10.0):
    """Like call(), with the answer parsed; fails on a status of 300 or more."""
    status, _, text = call(port, method, path, body, headers, timeout)
    assert status < 300, f"{method} {path}: {status} {text}"
    return json.loads(text)


def key_v7(rng) -> str:
    """UUID version 7 of the current time. Its random part comes from rng, so that a seed reproduces it."""
    value = (int(time.time() * 1000) << 80) | rng.getrandbits(80)
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class Process:
    """A process of one of the project's programs. Its output goes to a file in the folder of the run."""

    def __init__(self, folder: pathlib.Path, name: str, arguments: list[str]):
        self.name = name
        self.arguments = [str(a) for a in arguments]
        self.log = folder / f"{name}.log"
        self.handle = None
        self.start()

    def start(self) -> None:
        with open(self.log, "ab") as out:
            self.offset = out.tell()
            self.handle = subprocess.Popen(self.arguments, stdout=out, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    @property
    def pid(self) -> int:
        return self.handle.pid

    def output(self) -> str:
        """What the process printed since its last start."""
        with open(self.log, "rb") as file:
            file.seek(self.offset)
            return file.read().decode(errors="replace")

    def running(self) -> bool:
        return self.handle.poll() is None

    def send(self, number: int) -> None:
        if self.running():
            os.kill(self.handle.pid, number)

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        self.thaw()
        self.send(signal.SIGKILL)
        self.handle.wait(10)

    def stop(self, seconds: float = 10.0) -> int:
        """Graceful shutdown; kills the process at the time limit. Returns the exit code."""
        self.thaw()
        self.send(signal.SIGTERM)
        try:
            return self.handle.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def memory_kb(self) -> int:
        """Resident memory."""
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0


class Run:
    """Folder and processes of one test. Kills every process that it started when the test ends."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="nutmegtally-"))
        self.processes: list[Process] = []

    def __enter__(self):
        return self

    def __exit__(self, kind, fault, trace) -> None:
        for process in reversed(self.processes):
            if process.running():
                process.kill()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"the logs of the run are in {self.folder}", file=sys.stderr)

    def start(self, name: str, program: str, *arguments) -> Process:
        process = Process(self.folder, name, [BINARIES / program, *arguments])
        self.processes.append(process)
        return process

    def standin(self, kind: str, *arguments, name: str = "") -> "Standin":
        standin = Standin(self.start(name or kind, "nutmegtally-standin", kind, *arguments))
        return standin


class Standin:
    """A stand-in and its port. A restart keeps the port, because other processes have its address in their settings."""

    def __init__(self, process: Process):
        self.process = process
        self.port = self.await_port()

    def await_port(self) -> int:
        def listening():
            assert self.process.running(), f"{self.process.name} ended: {self.process.output()}"
            lines = self.process.output().splitlines()
            return next((int(line.split()[1]) for line in lines if line.startswith("listening ")), None)

        return wait_for(listening, 10, f"{self.process.name} listens")

    def restart(self) -> None:
        if self.process.running():
            self.process.kill()
        if "--port" not in self.process.arguments:
            self.process.arguments += ["--port", str(self.port)]
        self.process.start()
        self.await_port()

    def faults(self, **changes) -> None:
        call_json(self.port, "POST", "/admin/faults", changes)

    def counters(self) -> dict:
        return call_json(self.port, "GET", "/admin/counters")


INNER_KEY = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
ACCOUNT_KEY = "example-desk-key"


class Daemon:
    """A router or agent. A restart takes a new port unless the settings name one."""

    def __init__(self, run: Run, program: str, name: str, settings: dict):
        self.name = name
        self.settings_file = run.folder / f"{name}.json"
        self.settings_file.write_text(json.dumps(settings))
        self.process = run.start(name, program, "--settings", self.settings_file)
        self.await_listener()

    def await_listener(self) -> None:
        def addresses():
            assert self.process.running(), f"{self.name} ended: {self.process.output()}"
            return re.search(r"daemon_ready.* listen=(\S+) status=(\S+)", self.process.output())

        found = wait_for(addresses, 15, f"{self.name} is ready")
        self.address, self.status_address = found.group(1), found.group(2)
        self.port, self.status_port = (int(a.rsplit(":", 1)[1]) for a in found.groups())

    def restart(self) -> None:
        """Starts a killed daemon again at its former address."""
        if self.process.running():
            self.process.kill()
        settings = json.loads(self.settings_file.read_text())
        settings.update(listen=self.address, statusListen=self.status_address)
        self.settings_file.write_text(json.dumps(settings))
        self.process.start()
        self.await_listener()

    def metric(self, name: str, label: str = "") -> float:
        """Value of a metric, summed over its label sets that contain `label`; 0 if there is none."""
        total = 0.0
        for line in call(self.status_port, "GET", "/metrics")[2].splitlines():
            if line.startswith(name) and line[len(name):len(name) + 1] in (" ", "{") and label in line:
                total += float(line.rsplit(" ", 1)[1])
        return total


def fleet_configuration(domains: dict, **changes) -> dict:
    """A small fleet: one model, one booking service, three classes, one account. `domains` maps names to regions."""
    configuration = {
        "version": 1,
        "models": {"brush-llm": {}},
        "services": {"booking-app": {"shards": 4}},
        "classes": {
            "quick": {"model": "brush-llm", "priority": 0, "firstTokenMs": 5000, "betweenTokensMs": 500},
            "briefs": {"model": "brush-llm", "priority": 2, "firstTokenMs": 10000},
            "bookings": {"service": "booking-app", "priority": 1, "answerMs": 5000},
        },
        "accounts": {"desk": {"keyHashes": [hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()]}},
        "domains": {name: {"region": region} for name, region in domains.items()},
    }
    configuration.update(changes)
    return configuration


class Fleet:
    """Stand-in engines with agents, and routers, with a fixed configuration and upstream list."""

    def __init__(self, run: Run, domains: dict, engines_per_domain: int = 1, routers: int = 1, engine_options=(), **changes):
        self.run = run
        self.configuration_file = run.folder / "fleet.json"
        self.configuration_file.write_text(json.dumps(fleet_configuration(domains, **changes)))
        self.engines: dict[str, Standin] = {}
        self.agents: dict[str, Daemon] = {}
        self.routers: list[Daemon] = []
        upstreams = []
        for domain, region in domains.items():
            for number in range(1, engines_per_domain + 1):
                name = f"{domain}-engine-{number}"
                self.engines[name] = run.standin("engine", *engine_options, name=name + "-standin")
                self.agents[name] = self.start_agent(name, domain, region, self.engines[name].port)
                upstreams.append({"name": name, "domain": domain, "region": region, "model": "brush-llm",
                                  "address": self.agents[name].address})
        for number in range(1, routers + 1):
            name = f"router-{number}"
            domain = list(domains)[number % len(domains)]
            self.routers.append(Daemon(run, "nutmegtally-router", name, {
                **self.common(domain, domains[domain]), "name": name, "upstreams": upstreams}))

    def common(self, domain: str, region: str) -> dict:
        return {"domain": domain, "region": region, "innerKeys": [INNER_KEY], "configurationFile": str(self.configuration_file)}

    def start_agent(self, name: str, domain: str, region: str, upstream_port: int) -> Daemon:
        return Daemon(self.run, "nutmegtally-agent", name, {
            **self.common(domain, region), "name": name, "model": "brush-llm",
            "upstream": {"address": f"127.0.0.1:{upstream_port}"}})


class Answer:
    """A streamed answer as a caller receives it."""

    def __init__(self):
        self.status = 0
        self.text = ""
        self.token = ""
        self.usage = None
        self.finished = False  # [DONE] was received
        self.error = None  # error object of a refusal or of an error event
        self.chunks = 0

    @property
    def cached_tokens(self) -> int:
        return self.usage["prompt_tokens_details"]["cached_tokens"] if self.usage else 0


def chat(port: int, name: str, messages: list, tokens: int = 16, token: str = "", work_class: str = "quick",
         on_chunk=None, timeout: float = 20.0) -> Answer:
    """One streamed chat turn. on_chunk(answer) is called after each text delta."""
    answer = Answer()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    headers = {"Authorization": f"Bearer {ACCOUNT_KEY}", "X-Nutmegtally-Class": work_class, "X-Nutmegtally-Chat": name}
    if token:
        headers["X-Nutmegtally-Token"] = token
    body = {"model": "brush-llm", "stream": True, "max_tokens": tokens, "messages": messages}
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        response = connection.getresponse()
        answer.status = response.status
        answer.token = response.getheader("X-Nutmegtally-Token", "")
        if response.status != 200:
            answer.error = json.loads(response.read())["error"]
            return answer
        for line in response:
            if line.startswith(b"data: [DONE]"):
                answer.finished = True
            elif line.startswith(b"data: "):
                read_chunk(answer, json.loads(line[6:]), on_chunk)
    finally:
        connection.close()
    return answer


def read_chunk(answer: Answer, chunk: dict, on_chunk) -> None:
    if "error" in chunk:
        answer.error = chunk["error"]
        return
    answer.usage = chunk.get("usage") or answer.usage
    for choice in chunk["choices"]:
        text = choice["delta"].get("content")
        if text:
            answer.text += text
            answer.chunks += 1
            if on_chunk:
                on_chunk(answer)


class Chat:
    """A multi-turn chat: each turn sends the whole history and the routing token of the last answer."""

    def __init__(self, name: str, prompt: str):
        self.name = name
        self.messages = [{"role": "user", "content": prompt}]
        self.token = ""

    def turn(self, port: int, tokens: int = 16, **options) -> Answer:
        answer = chat(port, self.name, self.messages, tokens, self.token, **options)
        if answer.finished:
            self.token = answer.token
            self.messages += [{"role": "assistant", "content": answer.text}, {"role": "user", "content": "and then?"}]
        return answer


def expected_text(engine: "Standin", messages: list, tokens: int) -> str:
    """Text that every stand-in engine answers to these messages."""
    body = {"model": "brush-llm", "max_tokens": tokens, "messages": messages}
    return call_json(engine.port, "POST", "/v1/chat/completions", body, timeout=30)["choices"][0]["message"]["content"]


def free_port() -> int:
    """A port that the kernel chose. Processes that others must find by address cannot listen on port 0."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class PlatformFleet:
    """A complete fleet: object API, VM list, engines and services with agents, routers, and nutmegtallyctl."""

    def __init__(self, run: Run, domains: dict, engines_per_domain: int = 1, services: int = 0, routers: int = 2,
                 engine_options=(), **changes):
        self.run = run
        self.objects = run.standin("objects", "--file", run.folder / "objects.data")
        self.vms = run.standin("vms")
        self.engines: dict[str, Standin] = {}
        self.services: dict[str, Standin] = {}
        self.agents: dict[str, Daemon] = {}
        self.routers: list[Daemon] = []
        self.token = ""
        self.ctl_settings = run.folder / "ctl.json"
        self.ctl_settings.write_text(json.dumps({"objects": f"127.0.0.1:{self.objects.port}", "vms": f"127.0.0.1:{self.vms.port}",
                                                 "innerKeys": [INNER_KEY]}))
        self.token = json.loads(self.ctl("operator", "add", "ana", "--role", "operate"))["token"]
        configuration = fleet_configuration(domains, **changes)
        del configuration["version"]
        configuration_file = run.folder / "fleet.json"
        configuration_file.write_text(json.dumps(configuration))
        self.ctl("config", "apply", str(configuration_file), "--reason", "first configuration")
        names = list(domains)
        for domain in names:
            for number in range(1, engines_per_domain + 1):
                name = f"{domain}-engine-{number}"
                self.engines[name] = run.standin("engine", *engine_options, name=name + "-standin")
                self.start_agent(name, domain, domains[domain], self.engines[name].port, model="brush-llm")
        for number in range(services):
            domain = names[number % len(names)]
            name = f"{domain}-booking-{number + 1}"
            self.services[name] = run.standin("service", name=name + "-standin")
            self.start_agent(name, domain, domains[domain], self.services[name].port, service="booking-app")
        for number in range(routers):
            domain = names[number % len(names)]
            self.start_router(f"router-{number + 1}", domain, domains[domain])
        for router in self.routers:
            wait_for(lambda: call(router.status_port, "GET", "/readyz")[0] == 200, 20, f"{router.name} is ready")
            self.await_engines(router)

    def await_engines(self, router: Daemon) -> None:
        """Sends requests until the router has used every engine, because it learns of agents only some time after its start."""
        before = self.engine_requests()
        probes = itertools.count()

        def all_used() -> bool:
            chat(router.port, f"probe-{router.name}-{next(probes)}", [{"role": "user", "content": "probe"}], 1)
            after = self.engine_requests()
            return all(after[name] > before[name] for name in after)

        if self.engines:
            wait_for(all_used, 30, f"{router.name} knows every engine")

    def ctl(self, *arguments: str, code: int = 0) -> str:
        """Runs nutmegtallyctl and returns what it printed."""
        environment = {**os.environ, "NUTMEGTALLY_TOKEN": self.token, "NUTMEGTALLY_CTL_SETTINGS": str(self.ctl_settings)}
        result = subprocess.run([BINARIES / "nutmegtallyctl", *arguments], env=environment, capture_output=True, text=True, timeout=30)
        assert result.returncode == code, (arguments, result.returncode, result.stdout, result.stderr)
        return result.stdout

    def common(self, name: str, domain: str, region: str) -> dict:
        return {"name": name, "domain": domain, "region": region, "innerKeys": [INNER_KEY],
                "platform": {"objects": f"127.0.0.1:{self.objects.port}", "vms": f"127.0.0.1:{self.vms.port}"}}

    def register(self, name: str, domain: str, region: str, role: str, address: str) -> None:
        call_json(self.vms.port, "PUT", f"/vms/{name}",
                  {"domain": domain, "region": region, "role": role, "address": address, "state": "live"})

    def start_agent(self, name: str, domain: str, region: str, upstream_port: int, **what) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.register(name, domain, region, "agent", address)
        self.agents[name] = Daemon(self.run, "nutmegtally-agent", name, {
            **self.common(name, domain, region), **what, "listen": address, "upstream": {"address": f"127.0.0.1:{upstream_port}"}})

    def start_router(self, name: str, domain: str, region: str) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.register(name, domain, region, "router", address)
        self.routers.append(Daemon(self.run, "nutmegtally-router", name, {
            **self.common(name, domain, region), "innerListen": address}))

    def executions(self) -> dict:
        """How often each key ran, over all services."""
        total: dict[str, int] = {}
        for service in self.services.values():
            for key, count in service.counters()["executions"].items():
                total[key] = total.get(key, 0) + count
        return total

    def engine_requests(self) -> dict:
        return {name: engine.counters()["requests"] for name, engine in self.engines.items()}


def book(port: int, key: str, body: str = "crew 7", timeout: float = 6.0):
    """One booking call. Returns (status, answer as JSON or text)."""
    headers = {"Authorization": f"Bearer {ACCOUNT_KEY}", "X-Nutmegtally-Class": "bookings", "Idempotency-Key": key}
    status, _, text = call(port, "POST", "/services/booking-app/book", body, headers, timeout)
    try:
        return status, json.loads(text)
    except json.JSONDecodeError:
        return status, text


def book_until_settled(ports, key: str, seconds: float, pause: float = 0.2) -> str:
    """Repeats a booking with its key through the routers in turn, as callers do. Returns "acknowledged", "unknown" or the
    last refusal."""
    end = time.monotonic() + seconds
    last = "no answer"
    attempt = 0
    while time.monotonic() < end:
        port = ports[attempt % len(ports)]
        attempt += 1
        try:
            status, answer = book(port, key)
        except (OSError, http.client.HTTPException) as fault:
            last = type(fault).__name__
            time.sleep(pause)
            continue
        if status < 300:
            return "acknowledged"
        error = answer.get("error", {}) if isinstance(answer, dict) else {}
        last = error.get("code", str(status))
        if last == "outcome_unknown" and not error.get("retry_after_ms"):
            return "unknown"
        time.sleep(min(error.get("retry_after_ms") or pause * 1000, 1000) / 1000)
    return "unknown" if last == "outcome_unknown" else last
