"""An engine crashes, and the router resumes its streams at engines of which some are full: is a stream that is not whole given the end
of a whole one?"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import TROUBLE, Deployment, Upstream, call, client_headers, configuration, route, run  # noqa: E402

EVENTS, GAP_S = 36, 0.06
ENGINES, FULL_ENGINES = 9, 4
STREAMS, LATER_STREAMS, ROUNDS = 36, 9, 3


def main() -> int:
    deployment = Deployment(HERE, configuration([route("pit-query", "streaming", "tally-llm", resumable=True, max_attempts=3)]))
    record = deployment.record
    engines = []

    def add_engine():
        number = len(engines)
        engines.append(Upstream(deployment.store, record, f"i-engine{number}", "tally-llm", deployment.ZONES[number % 3], events=EVENTS,
                                gap_s=GAP_S))

    for _ in range(ENGINES):
        add_engine()
    lock = threading.Lock()
    outcomes = {"whole": 0, "visibly cut": 0, "refused or failed": 0, "ended as complete before the last piece": 0}

    def client(request, router, number):
        record(f"client: sends {request} to {router.name}")
        headers = client_headers(request, 10000, prompt=f"5c1e07a2:500,{number + 1:x}b:200,{number + 4096:x}:130")
        answer = call(router.port, "POST", "/pit-query/2f", headers, b"valve pit?", timeout=11)
        ids = [int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
        if answer.status != 200:
            outcome = "refused or failed"
        elif ids == list(range(1, EVENTS + 1)) and answer.complete:
            outcome = "whole"
        else:
            outcome = "ended as complete before the last piece" if answer.complete else "visibly cut"
        record(f"client: {request} got {answer.status}, {len(ids)} of {EVENTS} events, up to {ids[-1:]}: {outcome}")
        with lock:
            outcomes[outcome] += 1

    def start_clients(count, prefix):
        threads = [threading.Thread(target=client, args=(f"{prefix}{i:02x}", deployment.routers[i % len(deployment.routers)], i), daemon=True)
                   for i in range(count)]
        for thread in threads:
            thread.start()
        return threads

    try:
        deployment.start_routers()
        for number in range(ROUNDS):
            threads = start_clients(STREAMS, f"a{number}")
            time.sleep(0.8)
            alive = sorted((e for e in engines if not e.dead), key=lambda each: -len(each.running))
            for engine in alive[1:1 + FULL_ENGINES]:
                record(f"{engine.name}: is full from now on")
                engine.full = True
            if TROUBLE:
                record(f"{alive[0].name}: crashes with {len(alive[0].running)} streams")
                alive[0].crash()
            threads += start_clients(LATER_STREAMS, f"b{number}")
            for thread in threads:
                thread.join(timeout=15)
            for engine in engines:
                engine.full = False
            if TROUBLE:
                deployment.store.delete("servers", alive[0].name)
                add_engine()
            time.sleep(0.6)
        record(f"streams: {outcomes}")
        print(outcomes)
        if outcomes["whole"] == 0:
            return 2
        return 1 if outcomes["ended as complete before the last piece"] else 0
    finally:
        deployment.close()


run(main)
