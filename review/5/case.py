"""The operator takes the last client account away. Are its key, and a key that no configuration ever held, still let in?"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BOUNDS, TROUBLE, Deployment, Upstream, call, client_headers, configuration, route, run  # noqa: E402

ROUNDS = 8
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"


def main() -> int:
    routes = [route("crew-booking", "non_idempotent", "dispatch-app", timeout_ms=3000, latency_goal_ms=300),
              route("line-history", "idempotent", "dispatch-app", timeout_ms=3000, latency_goal_ms=300, max_attempts=2)]
    first = configuration(routes)
    deployment = Deployment(HERE, first)
    record = deployment.record
    desks = [Upstream(deployment.store, record, f"i-desk{i}", "dispatch-app", zone, capacity=6) for i, zone in enumerate(deployment.ZONES)]

    def send(request, router, path, key=None):
        headers = client_headers(request, 3000)
        if key:
            headers["X-Credential"] = key
        status = call(router.port, "POST" if "booking" in path else "GET", path, headers, timeout=4).status
        record(f"client: {request} {path} with {'a key that was never held' if key else 'the key of the account'} at {router.name}: {status}")
        return status

    def send_all(prefix):
        for number in range(ROUNDS):
            router = deployment.routers[number % 3]
            path = "/crew-booking/2f" if number % 2 else "/line-history/2f"
            yield send(f"{prefix}-held-{number}", router, path), send(f"{prefix}-never-{number}", router, path, NEVER_HELD)

    try:
        deployment.start_routers()
        if not all(answers == (200, 401) for answers in send_all("before")):
            print("the first configuration is not in force")
            return 2
        tenants = [] if TROUBLE else [{**first["tenants"][0], "api_keys": []}]
        deployment.store.put("config", "main", {**first, "version": 9, "tenants": tenants})
        record(f"store: acknowledges version 9 with tenants {tenants}")
        time.sleep(BOUNDS["apply_ms"] / 1000 + 0.5)
        list(send_all("after"))
        ran = [request for desk in desks for _, request, _ in desk.runs]
        dropped = sum(request.startswith("after-held") for request in ran)
        never = sum(request.startswith("after-never") for request in ran)
        verdict = f"later than apply_ms after the acknowledgement, {dropped} requests ran with the dropped key and {never} with one never held"
        record(verdict)
        print(verdict)
        return 1 if dropped or never else 0
    finally:
        deployment.close()


run(main)
