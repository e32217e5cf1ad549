"""Randomized soak test of nutmegtally-entry: injects faults around real router processes and checks the guarantees from what callers
and upstreams observe. Usage: soak_entry.py BINARIES [--seed N] [--seconds S] [--seeds COUNT]. Seeds that failed before are kept
in REGRESSIONS and run first."""

import argparse
import contextlib
import json
import pathlib
import random
import signal
import socket
import threading
import time

import soak_rollouts
from entry_fleet import Fleet, exchange, request_headers, send_request

REGRESSIONS = {301: "a watch whose connection went silent ran for 26 s at every router"}  # cause by seed
LEAVING_LIMIT_S = 3.0  # a leaving upstream or closed domain gets no new requests after this time
RESTART_S = 3.0  # after which a router that was stopped serves again
SETTLE_S = 5.0  # recovery time after the last fault; then every request must succeed


SPOILS = {  # imitated router fault, to the text in the failure that it must cause
    "repeated-booking": "ran 2 times",
    "false-refusal": "was refused as not run with 503, and ran",
    "foreign-answer": "success without the stamp of its own run",
    "harmed-answer": "not its whole answer",
    "lost-event": "events [1, 2, 4]",
    "unasked-run": "ran, and no caller sent it",
    "work-after-drain": "requests 3.0 s after it was closed",
    "old-configuration": "expected 200",
    "second-status": "both completed and rolled back",
    "forgotten-bound": "beyond the bound",
    "no-answer": "left without an answer",
}


class Failure(AssertionError):
    """A violated guarantee, with the evidence."""


class Soak:
    def __init__(self, binary: pathlib.Path, seed: int, seconds: float, spoil: str = ""):
        self.seed, self.seconds, self.spoil = seed, seconds, spoil
        self.rng = random.Random(seed)
        self.fleet = Fleet(binary, routers=3, engines=3, desks=3, seed=seed, more_settings=soak_rollouts.SETTINGS)
        self.lock = threading.Lock()
        self.drill = threading.Lock()
        self.stop = threading.Event()
        self.failures = []
        self.outcomes = {}  # (kind, status) by request id
        self.counts = {}
        self.rollouts = []
        self.disturbed = {}  # by router name, entries of [begin, end] of times when its process was stopped
        self.terminating = {}  # time of SIGTERM or SIGKILL by router name
        self.history = []

    def record(self, text: str) -> None:
        self.history.append(f"{time.monotonic() - self.begin:7.2f} {text}")

    def fail(self, text: str) -> None:
        with self.lock:
            self.failures.append(text)
        self.record("FAILED " + text)

    def run_caller(self, number: int) -> None:
        """Sends requests; keeps a connection until the router closes it, also after SIGTERM, or rarely at random."""
        rng = random.Random(self.seed * 1000 + number)
        sock, router = None, None
        sent = 0
        while not self.stop.is_set():
            sent += 1
            sent_at = time.monotonic()
            request_id = f"r{number}-{sent}"
            kind = rng.choice(("booking", "booking", "read", "stream-brief", "stream-reply"))
            try:
                if sock is None:
                    router = rng.choice(self.fleet.routers)
                    sock = socket.create_connection(("127.0.0.1", router.port), timeout=1)
                    sock.settimeout(8)
                headers = request_headers(request_id, subject=rng.randint(1, 6))
                status, answer, body = exchange(sock, "POST", f"/{kind}/1", headers, b"x")
                status, answer, body = self.apply_spoil(request_id, kind, status, answer, body)
                self.check_answer(request_id, kind, status, answer, body, router)
                if status == 0 and not answer:
                    raise ConnectionError("no answer")
                if status == 0 or answer.get("connection") == "close" or rng.random() < 0.05:
                    sock.close()
                    sock = None
            except (OSError, ValueError) as fault:
                with self.lock:
                    self.outcomes[request_id] = (kind, 0)
                if not self.was_disturbed(router.name, sent_at):
                    self.fail(f"{request_id} ({kind}): left without an answer by {router.name}, {fault!r}")
                if sock is not None:
                    sock.close()
                sock = None
            time.sleep(rng.uniform(0.0, 0.03))

    @contextlib.contextmanager
    def disturbance(self, router):
        span = [time.monotonic(), float("inf")]
        self.disturbed.setdefault(router.name, []).append(span)
        yield
        span[1] = time.monotonic()

    def was_disturbed(self, name: str, since: float) -> bool:
        """Whether a request to a router that began at a time may have met its end, its start or a pause."""
        return any(end >= since - RESTART_S for _, end in self.disturbed.get(name, []))

    def run_rollouts(self, rng) -> None:
        """Writes one order after the other."""
        time.sleep(rng.uniform(0, 1))
        while not self.rollouts or time.monotonic() < self.begin + self.seconds - 6:
            self.rollouts.append(soak_rollouts.Rollout(self, len(self.rollouts) + 1, rng))
            self.rollouts[-1].run()
            time.sleep(rng.uniform(0, 2))

    def set_state(self, name: str, state: str) -> None:
        with self.lock:
            self.fleet.set_state(name, state)

    def send_to_upstream(self, name: str, request_id: str, path: str) -> None:
        upstream = self.fleet.upstreams[name]
        upstream.fault = None
        send_request(int(upstream.address.rpartition(":")[2]), "POST", path, request_headers(request_id), b"x")

    def apply_spoil(self, request_id, kind, status, answer, body):
        """Alters the first suitable answer as a router with the imitated fault would have sent it."""
        if self.spoil == "forgotten-bound" and kind in ("booking", "read") and self.rollouts and self.rollouts[0].new:
            with self.lock:
                self.outcomes[request_id + "-more"] = ("read", 0)
            self.send_to_upstream(self.rollouts[0].new[0], request_id + "-more", "/read/1")
        wanted = {"repeated-booking": "booking", "false-refusal": "booking", "foreign-answer": "read", "harmed-answer": "read",
                  "lost-event": "stream-reply", "unasked-run": "read", "no-answer": "read"}.get(self.spoil)
        if status != 200 or kind != wanted:
            return status, answer, body
        spoil, self.spoil = self.spoil, ""
        self.record(f"spoiled {request_id}: {spoil}")
        if spoil in ("repeated-booking", "unasked-run"):
            self.send_to_upstream("desk-1", request_id if spoil == "repeated-booking" else "nobody-1", f"/{kind}/1")
        elif spoil == "false-refusal":
            status = 503
        elif spoil == "foreign-answer":
            answer = {**answer, "x-server-stamp": answer["x-server-stamp"] + "0"}
        elif spoil == "harmed-answer":
            body = body[:-1]
        elif spoil == "no-answer":
            status, answer = 0, {}
        elif spoil == "lost-event":
            body = body.replace(b"id: 3", b"")
        return status, answer, body

    def check_answer(self, request_id, kind, status, answer, body, router) -> None:
        with self.lock:
            self.outcomes[request_id] = (kind, status)
            self.counts[status] = self.counts.get(status, 0) + 1
        if status != 200:
            return
        if not answer.get("x-server-stamp", "").endswith("." + request_id):
            self.fail(f"{request_id}: success without the stamp of its own run: {answer}")
        if kind in ("booking", "read") and body != f"answer to {request_id} x".encode():
            self.fail(f"{request_id}: not its whole answer: {body!r}")
        if kind.startswith("stream"):
            numbers = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
            if numbers != list(range(1, len(numbers) + 1)) or len(numbers) != 4:
                self.fail(f"{request_id}: events {numbers}")

    def inject_faults(self) -> None:
        """Starts random faults, which may overlap. Each one ends by itself."""
        faults = (self.upstream_fault, self.upstream_fault, self.proxy_fault, self.proxy_fault, self.store_fault, self.store_proxy_fault, self.pause_router,
                  self.kill_router, self.terminate_router, self.reconfigure, self.drain_and_restore, self.close_domain, self.expire_history,
                  self.reset_connections, self.restore_store)
        threads = [threading.Thread(target=self.run_rollouts, args=(random.Random(self.seed + 1),), daemon=True)]
        threads[0].start()
        while time.monotonic() < self.begin + self.seconds:
            thread = threading.Thread(target=self.rng.choice(faults), args=(random.Random(self.rng.random()),), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(self.rng.uniform(0.1, 0.7))
        for thread in threads:
            thread.join(timeout=15)

    def upstream_fault(self, rng) -> None:
        name = rng.choice(list(self.fleet.upstreams))
        upstream = self.fleet.upstreams[name]
        upstream.fault, upstream.fault_share = rng.choice(("foreign", "extra", "unframed", "cut", "error", "shed", "reset", "hang")), rng.uniform(0.1, 0.8)
        self.record(f"upstream {name}: {upstream.fault} {upstream.fault_share:.2f}")
        time.sleep(rng.uniform(0.3, 2))
        upstream.fault = None

    def proxy_fault(self, rng) -> None:
        name = rng.choice(list(self.fleet.proxies))
        proxy = self.fleet.proxies[name]
        proxy.mode = rng.choice(("delay", "silence", "silence-up", "silence-down", "refuse"))
        self.record(f"path to {name}: {proxy.mode}")
        time.sleep(rng.uniform(0.3, 1.5))
        proxy.mode = "pass"
        proxy.reset_all()

    def reset_connections(self, rng) -> None:
        name = rng.choice(list(self.fleet.proxies))
        self.record(f"path to {name}: reset")
        self.fleet.proxies[name].reset_all()

    def store_fault(self, rng) -> None:
        self.fleet.store.mode = rng.choice(("busy", "silent", "reset"))
        self.record(f"store: {self.fleet.store.mode}")
        time.sleep(rng.uniform(0.3, 2))
        self.fleet.store.mode = "up"

    def store_proxy_fault(self, rng) -> None:
        router = rng.choice(self.fleet.routers)
        proxy = self.fleet.store_proxies[router.name]
        proxy.mode = rng.choice(("refuse", "silence", "silence-down"))
        self.record(f"{router.name} to store: {proxy.mode}")
        time.sleep(rng.uniform(0.5, 2.5))
        proxy.mode = "pass"
        proxy.reset_all()

    def expire_history(self, rng) -> None:
        self.record("store: history gone")
        self.fleet.store.expire_history()

    def restore_store(self, rng) -> None:
        with self.drill:  # writers repeat what one drill lost before the next
            copy = self.fleet.store.copy()
            time.sleep(rng.uniform(0.3, 2))
            with self.lock:
                lost = self.fleet.store.restore(copy, rng.uniform(0.1, 0.4))
            self.record(f"store: restored, era {self.fleet.store.era}")
            time.sleep(rng.uniform(0.1, 0.8))
            with self.lock:
                self.fleet.store.write_again(copy, lost)

    def pause_router(self, rng) -> None:
        router = rng.choice(self.fleet.routers)
        self.record(f"{router.name}: paused")
        with self.disturbance(router):
            router.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.2, 1.5))
            router.send_signal(signal.SIGCONT)

    def kill_router(self, rng) -> None:
        router = rng.choice(self.fleet.routers)
        with self.lock:
            if router.name in self.terminating:
                return
            self.terminating[router.name] = time.monotonic()
        self.record(f"{router.name}: killed")
        with self.disturbance(router):
            router.stop()
            time.sleep(rng.uniform(0.05, 0.5))
            router.start()
        with self.lock:
            del self.terminating[router.name]

    def terminate_router(self, rng) -> None:
        router = rng.choice(self.fleet.routers)
        with self.lock:
            if router.name in self.terminating:
                return
            self.terminating[router.name] = time.monotonic()
        self.record(f"{router.name}: SIGTERM")
        with self.disturbance(router):
            router.send_signal(signal.SIGCONT)
            router.send_signal(signal.SIGTERM)
            try:
                router.process.wait(timeout=12)
            except Exception:  # any exception means that the process has not ended in time
                self.fail(f"{router.name} did not end within 12 s of SIGTERM")
                router.stop()
            router.start()
        with self.lock:
            del self.terminating[router.name]

    def reconfigure(self, rng) -> None:
        routes = tuple(f"extra{i}" for i in range(rng.randint(0, 3)))
        with self.lock:
            version = self.fleet.configure(extra_routes=routes)
        self.record(f"configuration {version}: {routes}")

    def drain_and_restore(self, rng) -> None:
        name = rng.choice(list(self.fleet.upstreams))
        self.set_state(name, "draining")
        self.record(f"{name}: leaves")
        left = time.monotonic()
        time.sleep(LEAVING_LIMIT_S + 0.5)
        # New requests are not checked here, since store and proxy faults may delay the change; check_recovery() checks them.
        time.sleep(rng.uniform(0.1, 1))
        self.set_state(name, "ready")
        self.record(f"{name}: returns after {time.monotonic() - left:.1f} s")

    def close_domain(self, rng) -> None:
        domain = rng.choice(("north", "south"))
        self.record(f"{domain}: closed")
        self.fleet.store.put("evacuations", domain, {})
        time.sleep(rng.uniform(0.5, 3))
        self.fleet.store.delete("evacuations", domain)

    def check_runs(self) -> None:
        """Compares the runs recorded by the upstreams with the answers that callers received. run() waits before, for late runs."""
        runs, first_arrival = {}, {}
        for upstream in self.fleet.upstreams.values():
            with upstream.lock:
                for request_id, count in upstream.runs.items():
                    runs[request_id] = runs.get(request_id, 0) + count
        for request_id, (kind, status) in list(self.outcomes.items()):
            count = runs.get(request_id, 0)
            if kind in ("booking", "stream-brief") and count > 1:
                self.fail(f"{request_id} ({kind}) ran {count} times")
            if kind in ("booking", "stream-brief") and status in (408, 421, 429, 503) and count > 0:
                self.fail(f"{request_id} ({kind}) was refused as not run with {status}, and ran")
        for request_id in runs:
            if request_id and request_id not in self.outcomes:
                self.fail(f"{request_id}: ran, and no caller sent it")

    def check_recovery(self) -> None:
        """After the last fault every request succeeds, changes arrive, and leaving upstreams get no new requests."""
        time.sleep(SETTLE_S)
        with self.lock:
            self.fleet.configure(extra_routes=() if self.spoil == "old-configuration" else ("calm",))
        leaving = next(name for name, entry in self.fleet.entries.items() if (entry["service"], entry["zone"]) == ("desk", "north"))
        self.fleet.set_state(leaving, "draining")
        self.fleet.store.put("evacuations", "south", {})
        time.sleep(LEAVING_LIMIT_S)
        before = {n: len(u.arrivals) for n, u in self.fleet.upstreams.items()}
        for i in range(30):
            router = self.fleet.routers[i % 3]
            for path, expected in (("stream-brief", 200), ("calm", 200)):
                request_id = f"calm{path}{i}"
                self.outcomes[request_id] = (path, 0)
                status, answer, body = send_request(router.port, "POST", f"/{path}/1", request_headers(request_id), b"x")
                self.outcomes[request_id] = (path, status)
                if status != expected:
                    self.fail(f"calm: {path} at {router.name}: {status}, expected {expected}: {body!r}")
        if self.spoil == "work-after-drain":
            self.outcomes["late"] = ("read", 0)
            self.send_to_upstream(leaving, "late", "/read/1")
        for name, upstream in self.fleet.upstreams.items():
            closed = name == leaving or self.fleet.entries.get(name, {"zone": "south"})["zone"] == "south"
            if closed and len(upstream.arrivals) != before[name]:
                self.fail(f"{name} got {len(upstream.arrivals) - before[name]} requests {LEAVING_LIMIT_S} s after it was closed")

    def run(self) -> dict:
        self.begin = time.monotonic()
        try:
            self.fleet.wait_ready()
            callers = [threading.Thread(target=self.run_caller, args=(i,), daemon=True) for i in range(8)]
            for thread in callers:
                thread.start()
            self.inject_faults()
            self.stop.set()
            for thread in callers:
                thread.join(timeout=10)
            for name in self.fleet.upstreams:
                self.fleet.upstreams[name].fault = None
                self.fleet.proxies[name].mode = "pass"
            # Overlapping faults on one component may leave it in a faulty state.
            for name in self.fleet.entries:
                self.fleet.set_state(name, "ready")
            for domain in ("north", "south"):
                self.fleet.store.delete("evacuations", domain)
            self.fleet.store.mode = "up"
            for router in self.fleet.routers:
                router.send_signal(signal.SIGCONT)
                self.fleet.store_proxies[router.name].mode = "pass"
            self.check_recovery()
            time.sleep(0.5)
            self.check_runs()
            if self.spoil == "second-status":
                self.rollouts[-1].overwrite_status()
            for rollout in self.rollouts:
                rollout.check()
                self.counts[rollout.outcome()] = self.counts.get(rollout.outcome(), 0) + 1
            for router in self.fleet.routers:
                if router.process.poll() is not None:
                    self.fail(f"{router.name} ended by itself with {router.process.returncode}")
            if self.failures:
                print("\n".join(self.history))
                for router in self.fleet.routers:
                    log = pathlib.Path(f"/tmp/soak-{self.seed}-{router.name}.log")
                    log.write_bytes(router.log.read_bytes())
                    print(f"log kept: {log}")
                raise Failure(f"seed {self.seed}: " + "; ".join(self.failures[:5]))
            return self.counts
        finally:
            self.fleet.close()


def check_spoils(binary: pathlib.Path, options, names: list[str]) -> None:
    """Verifies that each check detects a router fault that violates its guarantee."""
    missed = []
    for name in names:
        try:
            Soak(binary, options.seed, options.seconds, name).run()
            found = "nothing"
        except Failure as failure:
            found = str(failure)
        missed += [] if SPOILS[name] in found else [name]
        print(json.dumps({"spoil": name, "outcome": "found" if SPOILS[name] in found else "missed", "why": found}), flush=True)
    if missed:
        raise SystemExit(f"not found: {', '.join(missed)}")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries", nargs="?", default="build-dev/programs")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=8, help="length of the faults of one seed")
    parser.add_argument("--spoil", choices=[*SPOILS, "each"], help="imitate a faulty router; passes if the soak finds the fault")
    options = parser.parse_args()
    binary = pathlib.Path(options.binaries).resolve() / "entry" / "nutmegtally-entry"
    if options.spoil:
        check_spoils(binary, options, list(SPOILS) if options.spoil == "each" else [options.spoil])
        return
    failed = 0
    for seed in list(REGRESSIONS) + list(range(options.seed, options.seed + options.seeds)):
        try:
            counts = Soak(binary, seed, options.seconds).run()
            print(json.dumps({"seed": seed, "outcome": "passed", "answers": counts}), flush=True)
        except Failure as failure:
            failed += 1
            print(json.dumps({"seed": seed, "outcome": "failed", "why": str(failure)}), flush=True)
    if failed:
        raise SystemExit(f"{failed} seeds failed")


main()
