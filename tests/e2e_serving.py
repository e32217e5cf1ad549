"""Guards against daemons that do not work together over the platform: configuration through the object API, membership
through peers and bookings through the ledger at the shard's owner. Also guards against a graceful shutdown that aborts
an answer."""

import json
import os
import random
import signal
import socket
import subprocess
import threading

from e2e_support import ACCOUNT_KEY, BINARIES, INNER_KEY, Daemon, Run, call, chat, fleet_configuration, key_v7, wait_for

HEADERS = {"Authorization": f"Bearer {ACCOUNT_KEY}"}
SEED = 20261204


def free_port() -> int:
    """A port chosen by the kernel, for a listener whose address peers must know before it starts."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class PlatformFleet:
    """An engine with its agent, two service agents and two routers on the stand-ins of the platform."""

    def __init__(self, run: Run):
        self.objects = run.standin("objects")
        self.vms = run.standin("vms")
        self.engine = run.standin("engine", "--token-ms", "20")
        self.service = run.standin("service")
        self.seed = f"127.0.0.1:{free_port()}"
        self.run = run
        self.engine_agent = self.agent("engine-1", {"model": "brush-llm"}, self.engine.port, self.seed)
        for name in ("booking-1", "booking-2"):
            self.agent(name, {"service": "booking-app"}, self.service.port, f"127.0.0.1:{free_port()}")
        self.routers = [self.router(f"router-{number}") for number in (1, 2)]

    def common(self, name: str) -> dict:
        return {"name": name, "domain": "kr-central-a", "region": "kr", "innerKeys": [INNER_KEY], "logLevel": "debug",
                "platform": {"objects": f"127.0.0.1:{self.objects.port}", "vms": f"127.0.0.1:{self.vms.port}", "seeds": [self.seed]}}

    def agent(self, name: str, kind: dict, upstream: int, listen: str) -> Daemon:
        return Daemon(self.run, "nutmegtally-agent", name, {
            **self.common(name), **kind, "listen": listen, "upstream": {"address": f"127.0.0.1:{upstream}"}})

    def router(self, name: str) -> Daemon:
        return Daemon(self.run, "nutmegtally-router", name, {**self.common(name), "innerListen": f"127.0.0.1:{free_port()}"})

    def apply(self, configuration: dict) -> None:
        settings = self.run.folder / "ctl.json"
        settings.write_text(json.dumps({"objects": f"127.0.0.1:{self.objects.port}"}))
        configuration_file = self.run.folder / "wanted.json"
        configuration_file.write_text(json.dumps(configuration))
        environment = {**os.environ, "NUTMEGTALLY_CTL_SETTINGS": str(settings)}

        def ctl(*arguments: str) -> str:
            result = subprocess.run([BINARIES / "nutmegtallyctl", *arguments], env=environment, capture_output=True, text=True, timeout=30)
            assert result.returncode == 0, (arguments, result.stdout, result.stderr)
            return result.stdout

        environment["NUTMEGTALLY_TOKEN"] = json.loads(ctl("operator", "add", "ana", "--role", "operate"))["token"]
        ctl("config", "apply", str(configuration_file), "--reason", "first")


def check_bookings(fleet: PlatformFleet, rng: random.Random) -> None:
    """Each key runs once, whichever router it goes to and however often it is repeated."""
    for number in range(20):
        headers = {**HEADERS, "Idempotency-Key": key_v7(rng), "Content-Type": "application/json"}
        answers = [call(router.port, "POST", "/services/booking-app/book", {"crew": number}, headers) for router in fleet.routers]
        assert [status for status, _, _ in answers] == [200, 200], answers
        assert answers[0][2] == answers[1][2], answers
        status, _, text = call(fleet.routers[0].port, "POST", "/services/booking-app/book", {"crew": -1}, headers)
        assert (status, json.loads(text)["error"]["code"]) == (409, "key_reused"), text
    executions = fleet.service.counters()["executions"]
    assert sorted(executions.values()) == [1] * 20, executions


def check_shutdown(fleet: PlatformFleet) -> None:
    """SIGTERM during an answer: the answer is complete, and the router exits with 0."""
    first_chunk_received = threading.Event()
    answers = []

    def request_chat() -> None:
        messages = [{"role": "user", "content": "hello"}]
        answers.append(chat(fleet.routers[1].port, "c2", messages, 50, on_chunk=lambda _: first_chunk_received.set()))

    caller = threading.Thread(target=request_chat)
    caller.start()
    assert first_chunk_received.wait(20)
    fleet.routers[1].process.send(signal.SIGTERM)
    caller.join(30)
    assert answers[0].finished and answers[0].chunks == 50, vars(answers[0])
    assert fleet.routers[1].process.handle.wait(20) == 0


def main() -> None:
    with Run() as run:
        fleet = PlatformFleet(run)
        status, _, text = call(fleet.routers[0].port, "GET", "/services/booking-app/x", headers=HEADERS)
        assert (status, json.loads(text)["error"]["code"]) == (503, "configuration_unknown"), text
        configuration = fleet_configuration({"kr-central-a": "kr"})
        del configuration["version"]
        fleet.apply(configuration)
        for router in fleet.routers:
            wait_for(lambda: call(router.status_port, "GET", "/readyz")[0] == 200, 10, "the configuration reaches the router")
            wait_for(lambda: call(router.port, "GET", "/services/booking-app/x", headers=HEADERS)[0] == 200, 20, "a read is answered")
            messages = [{"role": "user", "content": "hello"}]
            wait_for(lambda: chat(router.port, "c1", messages, 5).finished, 20, "a chat is answered")
        check_bookings(fleet, random.Random(SEED))
        fleet.objects.faults(outage=True)
        headers = {**HEADERS, "Idempotency-Key": key_v7(random.Random(SEED + 1))}
        status, _, text = call(fleet.routers[0].port, "POST", "/services/booking-app/book", {}, headers)
        assert status == 503 and json.loads(text)["error"]["run_state"] == "not_run", text
        fleet.objects.faults(outage=False)
        check_shutdown(fleet)
    print("e2e_serving: passed")


main()
