"""End-to-end tests of rollouts: real router processes with stand-ins for the object API and for upstreams of two versions.

Each case runs in a process of its own: a good version, or one kind of bad version, beside a fault of a router, the object API or their
connections. What each version got is counted at the upstreams."""

import concurrent.futures
import json
import pathlib
import random
import sys
import threading
import time

import entry_fleet
from entry_fleet import Fleet, request_headers, send_request

BINARY = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build-dev/programs").resolve() / "entry" / "nutmegtally-entry"
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5  # bounds on a version that is not found good
RAMP_S = 8
CALLERS, PAUSE_S = 12, 0.08
ROUTES = ("read", "booking")

ALL_PORTS = entry_fleet.PORTS
cases = []  # of this process, to be closed at its end


class Case:
    """A fleet of three routers with callers, and an order for a version whose upstreams answer as the case says."""

    def __init__(self, fault_of=None, seed: int = 1):
        self.rng = random.Random(seed)
        self.fleet = Fleet(BINARY, routers=3, engines=0, desks=0, seed=seed, more_settings={"rollouts": {"trialShare": SHARE, "trialSlack": SLACK}})
        for i in range(4):
            self.fleet.add_upstream(f"old-{i}", "desk", "north" if i % 2 else "south", service_time_s=0.02)
        self.fault_of = fault_of
        self.bad_times = []  # of bad answers of the new version
        self.stopped = threading.Event()
        self.failures = []  # statuses other than 200, and what the caller saw
        self.answered = 0
        self.at_completion = None  # requests at old upstreams when the status "completed" was written
        self.fleet.store.on_status = self.take_status
        self.ordered_at = None
        cases.append(self)

    def take_status(self, name, status) -> None:
        if status["state"] == "completed":
            old = [u for n, u in self.fleet.upstreams.items() if n.startswith("old")]
            self.at_completion = sum(u.running for u in old)
            for name in [n for n in self.fleet.upstreams if n.startswith("old")]:
                self.fleet.proxies[name].close()  # they stop at once, without draining

    def call(self, number: int) -> None:
        sent = 0
        while not self.stopped.wait(PAUSE_S):
            sent += 1
            router = self.rng.choice(self.fleet.routers)
            route = ROUTES[sent % 4 == 0]
            try:
                status, _, _ = send_request(router.port, "GET", f"/{route}/1", request_headers(f"c{number}-{sent}"), timeout=4)
            except OSError:
                continue  # a router that was killed
            if status == 200:
                self.answered += 1
            else:
                self.failures.append((time.monotonic(), route, status))

    def fault_for(self, target: str, running: int):
        fault = self.fault_of(self, target, running) if self.fault_of else None
        if fault:
            self.bad_times.append(time.monotonic())
        return fault

    def order(self) -> None:
        self.ordered_at = time.monotonic()
        self.fleet.store.put("rollouts", "desk", {"service": "desk", "target": "v2", "ramp_s": RAMP_S})
        for i in range(4):
            upstream = self.fleet.add_upstream(f"new-{i}", "desk", "north" if i % 2 else "south", version="v2", service_time_s=0.02)
            upstream.fault_of = self.fault_for

    def state(self) -> str:
        status = self.fleet.store.objects["rollouts", "desk"]["status"] or {}
        return status.get("state", "")

    def arrivals(self, version: str):
        prefix = {"v1": "old", "v2": "new"}[version]
        return sorted(at for name, upstream in self.fleet.upstreams.items() if name.startswith(prefix) for at, _ in upstream.arrivals)

    def run(self, during=None, seconds: float = RAMP_S + 1.5) -> None:
        """Plays the case; @p during is called with it two seconds after the order."""
        try:
            self.fleet.wait_ready()
            threads = [threading.Thread(target=self.call, args=(i,), daemon=True) for i in range(CALLERS)]
            for thread in threads:
                thread.start()
            time.sleep(1.5)
            self.order()
            time.sleep(2)
            if during:
                during(self)
            end = self.ordered_at + seconds
            while time.monotonic() < end and self.state() not in ("completed", "rolled_back"):
                time.sleep(0.05)
            time.sleep(1)
            self.stopped.set()
            for thread in threads:
                thread.join(timeout=5)
        except BaseException:
            self.print_logs()
            raise
        finally:
            self.stopped.set()

    def close(self) -> None:
        self.fleet.close()

    def print_logs(self) -> None:
        for router in self.fleet.routers:
            lines = [line for line in router.log_lines() if line["name"].startswith("rollout")]
            print(f"--- {router.name}\n" + "\n".join(json.dumps(line) for line in lines[-20:]), flush=True)

    def written(self) -> list[str]:
        return [status["state"] for _, _, status in self.fleet.store.statuses]

    def check(self, holds: bool, text: str) -> None:
        if not holds:
            self.print_logs()
            raise AssertionError(text)

    def check_completed(self) -> None:
        self.check(self.state() == "completed", f"{self.written()}")
        self.check(self.written().count("completed") == 1, f"{self.written()}")
        at = next(at for at, _, status in self.fleet.store.statuses if status["state"] == "completed")
        self.check(at <= self.ordered_at + RAMP_S, f"completed {at - self.ordered_at - RAMP_S:.1f} s after the deadline")
        self.check(self.at_completion == 0, f"{self.at_completion} requests at old upstreams when they stop")
        late = [f for f in self.failures if f[0] > at]
        self.check(not late, f"failures after the old upstreams stopped: {late[:5]}")

    def check_rolled_back(self) -> None:
        self.check(self.state() == "rolled_back", f"{self.written()}")
        self.check(self.written().count("rolled_back") == 1 and "completed" not in self.written(), f"{self.written()}")
        end = self.ordered_at + RAMP_S
        new = [at for at in self.arrivals("v2") if at <= end]
        old = [at for at in self.arrivals("v1") if self.ordered_at <= at <= end]
        bound = SHARE * (len(new) + len(old)) + SLACK
        self.check(len(new) <= bound, f"the bad version got {len(new)} of {len(new) + len(old)} requests")
        if len(self.bad_times) >= 50:
            after = [at for at in self.arrivals("v2") if at > sorted(self.bad_times)[49] + ROLLBACK_S]
            self.check(not after, f"{len(after)} requests after the bound for the roll-back")


def some(share: float, fault: str = "error"):
    return lambda case, target, running: fault if case.rng.random() < share else None


def kill_router(case: Case) -> None:
    case.fleet.routers[0].stop()
    time.sleep(0.5)
    case.fleet.routers[0].start()


def cut_from_store(case: Case) -> None:
    proxy = case.fleet.store_proxies["router-1"]
    proxy.mode = "refuse"
    proxy.reset_all()


def store_away(case: Case) -> None:
    case.fleet.store.mode = "busy"
    time.sleep(1.5)
    case.fleet.store.mode = "up"


def forget_history(case: Case) -> None:
    case.fleet.store.expire_history()


def test_goodVersion_quietStoreAndRouters_isCompleted() -> None:
    case = Case(seed=1)
    case.run()
    case.check_completed()


def test_goodVersion_routerIsKilledAndHistoryForgotten_isCompleted() -> None:
    case = Case(seed=2)
    case.run(lambda each: (kill_router(each), forget_history(each)))
    case.check_completed()


def test_goodVersion_storeIsAwayForAWhile_isCompleted() -> None:
    case = Case(seed=3)
    case.run(store_away)
    case.check_completed()


def test_goodVersion_oneRouterIsCutFromTheStore_isCompleted() -> None:
    case = Case(seed=4)
    case.run(cut_from_store)
    case.check_completed()


def test_badVersion_failsAtOnce_isRolledBack() -> None:
    case = Case(some(0.5), seed=5)
    case.run()
    case.check_rolled_back()


def test_badVersion_failsAtOnceAndStoreIsAway_isRolledBack() -> None:
    case = Case(some(0.5), seed=6)
    case.run(store_away)
    case.check_rolled_back()


def test_badVersion_failsLaterAndRouterIsKilled_isRolledBack() -> None:
    fails = some(0.6)
    case = Case(lambda each, target, running: fails(each, target, running) if time.monotonic() - each.ordered_at > 2.5 else None, seed=7)
    case.run(kill_router)
    case.check_rolled_back()


def test_badVersion_failsUnderLoad_isRolledBack() -> None:
    case = Case(lambda each, target, running: "error" if running >= 2 else None, seed=8)
    case.run()
    case.check_rolled_back()


def test_badVersion_failsOnOneRouteAndOneRouterIsCut_isRolledBack() -> None:
    fails = some(0.7)
    case = Case(lambda each, target, running: fails(each, target, running) if target.startswith("/booking") else None, seed=9)
    case.run(cut_from_store)
    case.check_rolled_back()


def test_badVersion_isSeveralTimesSlower_isRolledBack() -> None:
    case = Case(some(0.6, "slow"), seed=10)
    case.run()
    case.check_rolled_back()


def test_unreadableOrder_changesNothing() -> None:
    case = Case(seed=11)
    case.fleet.wait_ready()
    for number, spec in enumerate(({"service": "desk", "target": "v2", "ramp_s": 0}, {"service": "desk", "target": "v2"}, {"service": "other"})):
        case.fleet.store.put("rollouts", "desk", spec)
        time.sleep(0.5)
        warnings = [line for line in case.fleet.routers[0].log_lines() if line["name"] == "rollout_unreadable"]
        assert len(warnings) == number + 1, warnings
    assert send_request(case.fleet.routers[0].port, "GET", "/read/1", request_headers("u1"))[0] == 200
    assert not case.fleet.store.statuses


def run_case(name: str, number: int, count: int) -> str:
    # The processes of the cases do not know which ports the others have chosen.
    entry_fleet.PORTS = ALL_PORTS[len(ALL_PORTS) * number // count:len(ALL_PORTS) * (number + 1) // count]
    begin = time.monotonic()
    try:
        globals()[name]()
    finally:
        for case in cases:
            case.close()
    return f"{name}: passed in {time.monotonic() - begin:.1f} s"


def main() -> None:
    names = sorted(n for n in globals() if n.startswith("test_") and (len(sys.argv) < 3 or sys.argv[2] in n))
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=4) as pool:
        for name, future in [(name, pool.submit(run_case, name, i, len(names))) for i, name in enumerate(names)]:
            try:
                print(future.result(), flush=True)
            except Exception as fault:  # reported, and fails the run
                failed += 1
                print(f"{name}: FAILED: {fault}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
