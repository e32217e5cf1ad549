"""A change that no router hears of, as the answers of the object API are lost, and then the loss of all routers but one: the one that is
left has to know later changes in time. The fleets run beside each other, one for each router that may be left."""

import concurrent.futures
import pathlib
import sys
import time

from entry_fleet import Fleet, request_headers, send_request

BINARY = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build-dev/programs").resolve() / "entry" / "nutmegtally-entry"
ROUTERS = 4
SILENCE_S = 1.0
STABLE_S = 3.0  # after an outage of the object API, until changes have their usual time to take effect
APPLY_S = 2.0  # from the acknowledgement of a configuration until it is in force everywhere
PROBES_S = 2.0


def set_proxies(fleet: Fleet, mode: str) -> None:
    for proxy in fleet.store_proxies.values():
        proxy.mode = mode


def statuses_after_revocation(left: int) -> list[tuple[float, int]]:
    """(time since the acknowledgement, status) of requests with a revoked key at the router that is left."""
    fleet = Fleet(BINARY, routers=ROUTERS, seed=left)
    try:
        fleet.wait_ready()
        time.sleep(STABLE_S)
        set_proxies(fleet, "silence-down")
        fleet.configure(keys=("key-1", "key-2"))
        time.sleep(SILENCE_S)
        set_proxies(fleet, "pass")
        time.sleep(STABLE_S)
        for i, router in enumerate(fleet.routers):
            if i != left:
                router.stop()
        fleet.configure(keys=("key-2",))
        acknowledged = time.monotonic()
        time.sleep(APPLY_S)
        probes = []
        while (age := time.monotonic() - acknowledged) < APPLY_S + PROBES_S:
            probes.append((round(age, 2), send_request(fleet.routers[left].port, "GET", "/read/1", request_headers(f"k{age}", key="key-1"))[0]))
            time.sleep(0.1)
        return probes
    finally:
        fleet.close()


def test_answersLost_allButOneRouterGone_revokedKeyIsRefused() -> None:
    """Guards against a revoked key that is accepted for 18 s: the two routers that would have noticed the lost answers were gone."""
    with concurrent.futures.ThreadPoolExecutor(ROUTERS) as pool:
        results = list(pool.map(statuses_after_revocation, range(ROUTERS)))
    late = {left: [probe for probe in probes if probe[1] != 401] for left, probes in enumerate(results)}
    assert not any(late.values()), f"by the router that is left: {late}"


def main() -> None:
    begin = time.monotonic()
    test_answersLost_allButOneRouterGone_revokedKeyIsRefused()
    print(f"test_answersLost_allButOneRouterGone_revokedKeyIsRefused: passed in {time.monotonic() - begin:.1f} s", flush=True)


main()
