"""One entry under `servers` comes from another writer and cannot be read. Do the routers serve again after all of them were killed?"""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BOUNDS, TROUBLE, Deployment, Upstream, call, client_headers, configuration, route, run  # noqa: E402

CLIENTS = 6
PAUSE_S = 0.15  # of a client between two requests
ENTRY_AT_S, KILL_AT_S, DOWN_S, AFTER_S = 3.0, 6.0, 1.0, 8.0

# What a writer leaves that cuts a text in the middle of a character outside the basic plane. The store answers with valid JSON
# grammar: "v1\ud83d". VARIANT tries other unreadable or mistyped fields; "text" is the one that the claim is about.
FOREIGN = {"text": {"version": "v1\ud83d"}, "number": {"capacity": 10**24}, "type": {"capacity": "six"}}
VARIANT = os.environ.get("VARIANT", "text")


def foreign_entry():
    entry = {"service": "dispatch-app", "address": "127.0.0.1:9", "zone": "north-pl", "version": "v1", "capacity": 6, "state": "ready",
             "warmup_ms": 0, "sequence": 1}
    return {**entry, **FOREIGN[VARIANT]}


def main() -> int:
    deployment = Deployment(HERE, configuration([route("crew-booking", "non_idempotent", "dispatch-app", timeout_ms=3000, latency_goal_ms=300),
                                                 route("line-history", "idempotent", "dispatch-app", timeout_ms=3000, latency_goal_ms=300,
                                                       max_attempts=2)]))
    record = deployment.record
    for i, zone in enumerate(deployment.ZONES):
        Upstream(deployment.store, record, f"i-desk{i}", "dispatch-app", zone, capacity=6)
    results, lock, stop = [], threading.Lock(), threading.Event()

    def client(number):
        count = 0
        while not stop.wait(PAUSE_S):
            count += 1
            request = f"c{number}{count:04x}"
            router = deployment.routers[(number + count) % len(deployment.routers)]
            path = "/crew-booking/2f" if count % 2 else "/line-history/2f"
            sent = time.monotonic()
            try:
                status = call(router.port, "POST" if count % 2 else "GET", path, client_headers(request, 3000), timeout=3).status
            except OSError as fault:
                status = f"no answer ({type(fault).__name__})"
            record(f"client: {request} {path} at {router.name}: {status}")
            with lock:
                results.append((sent, status))

    try:
        deployment.start_routers()
        for number in range(CLIENTS):
            threading.Thread(target=client, args=(number,), daemon=True).start()
        time.sleep(ENTRY_AT_S)
        if TROUBLE:
            record("another writer: puts servers/x-other with an entry that cannot be read")
            deployment.store.put("servers", "x-other", foreign_entry())
        time.sleep(KILL_AT_S - ENTRY_AT_S)
        killed = time.monotonic()
        record("platform: kills all routers")
        for router in deployment.routers:
            router.kill()
        time.sleep(DOWN_S)
        for router in deployment.routers:
            router.start(bootstrap=False)
        back = time.monotonic()
        record("platform: all routers are started again")
        time.sleep(BOUNDS["recovery_s"] + AFTER_S)
        stop.set()
        time.sleep(0.5)

        def share(begin, end):
            of = [status for sent, status in results if begin <= sent < end]
            return sum(status == 200 for status in of) / max(1, len(of)), len(of)

        before, count_before = share(0, killed - 0.5)
        after, count_after = share(back + BOUNDS["recovery_s"], time.monotonic())
        verdict = (f"served before the final fault: {before:.0%} of {count_before}; later than recovery_s after it: {after:.0%} of "
                   f"{count_after}")
        record(verdict)
        print(verdict)
        if before < 0.25 or count_after < 20:
            return 2
        return 1 if after < 0.25 else 0
    finally:
        deployment.close()


run(main)
