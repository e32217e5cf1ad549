"""Rollouts in the randomized soak test: orders for the service "desk", upstreams of new versions that may be bad, and the checks of
what these got, from what the upstreams and the store saw."""

import random
import time

SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5  # bounds on a version that is not found good
SETTINGS = {"rollouts": {"trialShare": SHARE, "trialSlack": SLACK}}
KINDS = ("good", "good", "error", "later", "route", "load", "slow")
FINAL = ("completed", "rolled_back")


class Rollout:
    """One order, with the upstreams of its version and those that served before."""

    def __init__(self, soak, number: int, rng: random.Random):
        self.soak, self.fleet = soak, soak.fleet
        self.rng = random.Random(rng.random())  # of its answers, whose number depends on the course of the run
        self.target = f"v{number + 1}"
        self.kind = {"second-status": "error", "forgotten-bound": "good"}.get(soak.spoil, rng.choice(KINDS))
        self.ramp_s = rng.uniform(6, 8)
        self.old, self.new = [], []  # names of upstreams
        self.bad_times = []
        self.written = []  # entries of (time, era of the store, state, phase)

    def fault_of(self, target: str, running: int):
        age = time.monotonic() - self.ordered_at
        share = {"good": 0, "later": 0.8 if age > 0.3 * self.ramp_s else 0, "route": 0.8 if target.startswith("/booking") else 0,
                 "load": min(1, 0.4 * running)}.get(self.kind, 0.8)
        if self.rng.random() >= share:
            return None
        self.bad_times.append(time.monotonic())
        return "slow" if self.kind == "slow" else "error"

    def take_status(self, name: str, status) -> None:
        """Called by the store when a status was written."""
        self.written.append((time.monotonic(), self.fleet.store.era, status["state"], status.get("phase", "")))
        self.soak.record(f"status of {name}: {status}")
        if status["target"] != self.target:
            self.soak.fail(f"status {status} was written for the order of {self.target}")
        if status["state"] == "completed":
            open_requests = {name: count for name in self.old if (count := self.fleet.upstreams[name].open_requests())}
            if open_requests:
                self.soak.fail(f"{self.target} was completed with requests at old upstreams: {open_requests}")
            for name in self.old:
                self.fleet.proxies[name].close()  # they stop at once, without draining

    def state(self) -> str:
        return next((state for _, _, state, _ in reversed(self.written) if state in FINAL), "")

    def run(self) -> None:
        with self.soak.drill:  # a copy of the store that lacks the order would make it another one
            self.fleet.store.delete("rollouts", "desk")
            self.fleet.store.on_status = self.take_status
            self.old = [name for name, entry in self.fleet.entries.items() if entry["service"] == "desk"]
            self.ordered_at = time.monotonic()
            self.fleet.store.put("rollouts", "desk", {"service": "desk", "target": self.target, "ramp_s": self.ramp_s})
            with self.soak.lock:
                for i in range(3):
                    self.new.append(f"desk-{self.target}-{i}")
                    upstream = self.fleet.add_upstream(self.new[-1], "desk", "north" if i % 2 == 0 else "south", version=self.target)
                    upstream.fault_of = self.fault_of
        self.soak.record(f"order of {self.target}, {self.kind}, in {self.ramp_s:.1f} s")
        while not self.state() and time.monotonic() < self.ordered_at + self.ramp_s + 0.5:
            time.sleep(0.05)
        if not self.state():
            self.fleet.store.delete("rollouts", "desk")
        time.sleep(0.5)
        ended = self.old if self.state() == "completed" else self.new
        if ended is self.new:
            for name in ended:
                self.soak.set_state(name, "draining")
            time.sleep(1.5)
        with self.soak.lock:
            for name in ended:
                self.fleet.remove_upstream(name)

    def overwrite_status(self) -> None:
        """Writes the other final status, as somebody who knows nothing of the routers' one."""
        other = FINAL[self.state() == FINAL[0]]
        self.fleet.store.overwrite_status("rollouts", "desk", {"state": other, "target": self.target})

    def arrivals(self, names, end: float):
        return sum(self.ordered_at <= at <= end for name in names for at, _ in self.fleet.upstreams[name].arrivals)

    def check(self) -> None:
        """Checks the whole course, once all requests are over."""
        finals = [(era, state) for _, era, state, _ in self.written if state in FINAL]
        if len({state for _, state in finals}) > 1:
            self.soak.fail(f"{self.target} was both completed and rolled back: {finals}")
        if len(set(finals)) != len(finals):
            self.soak.fail(f"a final status of {self.target} was written twice: {finals}")
        deadline = self.ordered_at + self.ramp_s
        found_good = [at for at, _, _, phase in self.written if phase == "shift"]
        end = min(found_good + [deadline]) if self.kind == "good" else deadline
        new, old = self.arrivals(self.new, end), self.arrivals(self.old, end)
        if new > SHARE * (new + old) + SLACK:
            self.soak.fail(f"{self.target} ({self.kind}) got {new} of {new + old} requests, beyond the bound")
        if len(self.bad_times) >= 50:
            limit = sorted(self.bad_times)[49] + ROLLBACK_S
            late = sum(at > limit for name in self.new for at, _ in self.fleet.upstreams[name].arrivals)
            if late:
                self.soak.fail(f"{self.target} ({self.kind}) got {late} requests {ROLLBACK_S} s after its 50th bad answer")
        self.soak.record(f"{self.target} ({self.kind}): {self.state() or 'undecided'}, {new} of {new + old} requests, {len(self.bad_times)} bad answers")

    def outcome(self) -> str:
        return f"{self.kind}: {self.state() or 'undecided'}"
