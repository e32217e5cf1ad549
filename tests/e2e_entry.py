"""End-to-end tests of nutmegtally-entry: real router processes with stand-ins for the platform's object API and upstreams.

The tests share one fleet and run in alphabetical order."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

from entry_fleet import Fleet, exchange, request_headers, send_request

BINARY = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build-dev/programs").resolve() / "entry" / "nutmegtally-entry"


def wait_for(condition, seconds: float, what: str):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, f"not within {seconds} s: {what}"
        time.sleep(0.02)


def status_of(router, path: str, request_id: str, **more) -> int:
    return send_request(router.port, "GET", path, request_headers(request_id, **more))[0]


def test_allKinds_withoutFaults_areServedCompletely(fleet: Fleet) -> None:
    for i in range(12):
        router = fleet.routers[i % 2]
        status, headers, body = send_request(router.port, "POST", "/booking/1", request_headers(f"b{i}"), b"dig")
        assert status == 200 and body == f"answer to b{i} dig".encode(), (status, body)
        assert headers["x-server-stamp"].endswith(f".b{i}")
        status, _, body = send_request(router.port, "POST", "/stream-brief/1", request_headers(f"s{i}"), b"run log")
        assert status == 200 and body.count(b"id: ") == 4, (status, body)
    assert status_of(fleet.routers[0], "/nowhere/1", "n1") == 404
    assert status_of(fleet.routers[0], "/read/1", "n2", key="wrong") == 401


def test_key_anyRequest_isNotForwarded(fleet: Fleet) -> None:
    send_request(fleet.routers[0].port, "GET", "/read/1", {**request_headers("k1"), "X-Tenant": "forged", "X-Hold": "forged"})
    seen = [u.seen_headers["k1"] for u in fleet.upstreams.values() if "k1" in u.seen_headers]
    assert len(seen) == 1
    assert "x-credential" not in seen[0] and "x-hold" not in seen[0] and seen[0]["x-tenant"] == "account-1"


def test_configuration_change_appliesOnEachRouter(fleet: Fleet) -> None:
    fleet.configure(extra_routes=("added",))
    for i, router in enumerate(fleet.routers):
        wait_for(lambda: status_of(router, "/added/1", f"c{i}{time.monotonic()}") == 200, 2, "added route")
    fleet.configure()
    for i, router in enumerate(fleet.routers):
        wait_for(lambda: status_of(router, "/added/1", f"d{i}{time.monotonic()}") == 404, 2, "removed route")


def test_configuration_storeComesBackFromAnOlderCopy_holdsAndGoesOn(fleet: Fleet) -> None:
    """Guards against a confirmed route that is lost with the copy, and against later changes whose revisions were given out before."""
    copy = fleet.store.copy()
    fleet.configure(extra_routes=("confirmed",))
    for router in fleet.routers:
        wait_for(lambda: status_of(router, "/confirmed/1", f"r{time.monotonic()}") == 200, 2, "added route")
    fleet.store.restore(copy, 0.5)
    calls = fleet.store.calls
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        assert all(status_of(router, "/confirmed/1", f"h{time.monotonic()}") == 200 for router in fleet.routers)
        time.sleep(0.05)
    assert fleet.store.calls - calls < 60, fleet.store.calls - calls
    fleet.configure(extra_routes=("confirmed", "later"))  # gets the revision that the lost one had
    for router in fleet.routers:
        wait_for(lambda: status_of(router, "/later/1", f"l{time.monotonic()}") == 200, 2, "route added after the restore")
    fleet.configure()
    for router in fleet.routers:
        wait_for(lambda: status_of(router, "/later/1", f"m{time.monotonic()}") == 404, 2, "removed route")


def test_connectionToStore_refused_syncsFromPeer(fleet: Fleet) -> None:
    router = fleet.routers[0]
    fleet.store_proxies[router.name].mode = "refuse"
    fleet.store_proxies[router.name].reset_all()
    fleet.configure(extra_routes=("news",), keys=("key-1", "key-2"))
    wait_for(lambda: status_of(router, "/news/1", f"e{time.monotonic()}", key="key-2") == 200, 4, "configuration from a peer")
    fleet.store_proxies[router.name].mode = "pass"


def test_silentWatch_changeElsewhere_isReceivedFromPeer(fleet: Fleet) -> None:
    router = fleet.routers[1]
    fleet.store_proxies[router.name].mode = "silence-down"
    fleet.configure(extra_routes=("silent",))
    wait_for(lambda: status_of(router, "/silent/1", f"f{time.monotonic()}") == 200, 5, "configuration despite a silent watch")
    fleet.store_proxies[router.name].mode = "pass"
    fleet.store_proxies[router.name].reset_all()


def test_storeOutage_historyExpired_keepsServingAndRelists(fleet: Fleet) -> None:
    fleet.store.mode = "busy"
    time.sleep(0.6)
    assert all(r.is_ready() for r in fleet.routers)
    assert status_of(fleet.routers[0], "/read/1", "g1") == 200
    fleet.store.expire_history()
    fleet.configure(extra_routes=("later",))
    fleet.store.expire_history()
    fleet.store.mode = "up"
    for i, router in enumerate(fleet.routers):
        wait_for(lambda: status_of(router, "/later/1", f"h{i}{time.monotonic()}") == 200, 4, "new list after the outage")


def test_leavingOrClosed_upstreams_getNoNewRequests(fleet: Fleet) -> None:
    fleet.set_state("desk-0", "draining")
    time.sleep(1.0)
    before = len(fleet.upstreams["desk-0"].arrivals)
    for i in range(10):
        assert status_of(fleet.routers[i % 2], "/read/1", f"l{i}") == 200
    assert len(fleet.upstreams["desk-0"].arrivals) == before
    fleet.store.put("evacuations", "south", {})
    wait_for(lambda: status_of(fleet.routers[0], "/booking/1", f"m{time.monotonic()}") == 503, 2, "no upstream left")
    fleet.store.delete("evacuations", "south")
    fleet.set_state("desk-0", "ready")
    for i, router in enumerate(fleet.routers):
        wait_for(lambda: status_of(router, "/booking/1", f"o{i}{time.monotonic()}") == 200, 2, "reopened")


def test_damagedAnswers_anyFault_areNotRelayed(fleet: Fleet) -> None:
    desks = [u for n, u in fleet.upstreams.items() if n.startswith("desk")]
    for fault in ("foreign", "extra", "unframed", "cut", "error", "shed", "reset"):
        for desk in desks:
            desk.fault, desk.fault_share = fault, 0.5
        for i in range(20):
            request_id = f"x{fault}{i}"
            status, headers, body = send_request(fleet.routers[i % 2].port, "POST", "/booking/1", request_headers(request_id), b"")
            runs = sum(d.runs.get(request_id, 0) for d in desks)
            assert runs <= 1, f"{fault}: {runs} runs"
            if status == 200:
                assert body == f"answer to {request_id} ".encode() and headers["x-server-stamp"].endswith(request_id), (fault, body)
            if status in (429, 503):
                assert runs == 0, f"{fault}: refused as not run, and ran"
    for desk in desks:
        desk.fault = None


def test_cutStream_resumable_completesOrEndsIncomplete(fleet: Fleet) -> None:
    engines = [u for n, u in fleet.upstreams.items() if n.startswith("llm")]
    for engine in engines:
        engine.fault, engine.fault_share = "cut", 0.5
    whole = 0
    for i in range(20):
        status, _, body = send_request(fleet.routers[i % 2].port, "POST", "/stream-reply/1", request_headers(f"y{i}"), b"")
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        if status == 200:
            assert numbers == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"], numbers
            whole += 1
    assert whole >= 12, whole
    for engine in engines:
        engine.fault = None


def test_sigterm_openRequests_areFinished(fleet: Fleet) -> None:
    router = fleet.routers[1]
    engines = [u for n, u in fleet.upstreams.items() if n.startswith("llm")]
    for engine in engines:
        engine.events, engine.event_gap_s = 20, 0.05
    results = []

    def stream(i):
        results.append(send_request(router.port, "POST", "/stream-brief/1", request_headers(f"t{i}"), b"")[0])

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    connection = socket.create_connection(("127.0.0.1", router.port))
    router.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    assert not router.is_ready()
    status, headers, _ = exchange(connection, "GET", "/read/1", request_headers("kept"))
    assert status == 200 and headers.get("connection") == "close", (status, headers)
    for thread in threads:
        thread.join()
    assert results == [200] * 6, results
    assert router.process.wait(timeout=7) == 0
    for engine in engines:
        engine.events, engine.event_gap_s = 4, 0.01
    router.start()
    fleet.wait_ready()


def test_restart_storeDown_loadsStateFromPeer(fleet: Fleet) -> None:
    fleet.store.mode = "reset"
    router = fleet.routers[0]
    router.stop()
    router.start()
    wait_for(router.is_ready, 4, "ready without the store")
    assert status_of(router, "/read/1", "u1") == 200
    fleet.store.mode = "up"


def test_metricsAndLog_request_isTraceable(fleet: Fleet) -> None:
    send_request(fleet.routers[0].port, "GET", "/read/1", request_headers("explained"))
    _, _, text = send_request(fleet.routers[0].metrics_port, "GET", "/metrics")
    assert b"nutmegtally_entry_requests_total" in text and b"nutmegtally_entry_request_seconds_bucket" in text
    names = [line["name"] for line in fleet.routers[0].log_lines() if line.get("request") == "explained"]
    assert names == ["attempt_started", "answer_received", "request_answered"], names
    explain = [str(BINARY.parent.parent / "nutmegtallyctl"), "explain"]
    logs = [str(router.log) for router in fleet.routers]
    trace = subprocess.run([*explain, "explained", *logs], capture_output=True, text=True, check=True).stdout
    assert "attempt_started" in trace and "cause: answered" in trace, trace
    sums = json.loads(subprocess.run([*explain, "--summary", "--json", *logs], capture_output=True, text=True, check=True).stdout)
    assert sums["causes"]["answered"] > 0 and sums["unreadable"] == 0, sums
    assert subprocess.run([*explain, "nobody-sent-this", *logs], capture_output=True, check=False).returncode == 1
    assert all(line["name"] != "not json" for router in fleet.routers for line in router.log_lines())


def test_promptPart_crashesEngines_isHeldBackByAllRoutersUntilReleased(fleet: Fleet) -> None:
    crashed = []
    names = [f"llm-doomed-{i}" for i in range(8)]
    sound = [name for name in fleet.upstreams if name.startswith("llm-")]
    for name in names:
        engine = fleet.add_upstream(name, "llm", "north")
        engine.deadly_part = "dead"
        engine.crash = lambda name=name: (crashed.append(name), fleet.proxies[name].close())
    for name in sound:
        fleet.set_state(name, "draining")
    wait_for(lambda: all(any(line.get("upstream") == sound[-1] and line["name"] == "upstream_leaving" for line in router.log_lines())
                         for router in fleet.routers), 3, "new engines are listed, the others leave")

    def send(number: int, part: str):
        headers = {**request_headers(f"part-{part}-{number}"), "X-Prompt-Prefix": f"a1:500,{part}:50,{number + 1000:x}:10"}
        try:
            return send_request(fleet.routers[number % 2].port, "POST", "/stream-brief/1", headers, b"log")
        except OSError:
            return 0, {}, b""  # the stream was cut

    for number in range(12):
        assert send(number, "50")[0] == 200
        send(number, "dead")
    assert 2 <= len(crashed) <= 5, crashed  # the word has to spread before the sixth
    for number in range(2):
        status, headers, body = send(100 + number, "dead")
        assert status == 503 and float(headers["retry-after"]) > 1 and body == b"quarantined\n", (status, headers, body)
        assert b"quarantined_parts 1" in send_request(fleet.routers[number].metrics_port, "GET", "/metrics")[2]
    path = "/routers/v1/quarantine"
    listed = json.loads(send_request(fleet.routers[1].peer_port, "GET", path)[2])
    assert [(each["part"], each["standing"]) for each in listed if each["standing"] == "quarantined"] == [(f"{0xdead:016x}", "quarantined")], listed
    assert send_request(fleet.routers[0].peer_port, "DELETE", path + "/dead")[0] == 200
    wait_for(lambda: json.loads(send_request(fleet.routers[1].peer_port, "GET", path)[2]) == [], 2, "released at the other router")
    for name in names:
        fleet.store.delete("servers", name)
    for name in sound:
        fleet.set_state(name, "ready")


def main() -> None:
    fleet = Fleet(BINARY)
    try:
        fleet.wait_ready()
        for name, test in sorted((n, t) for n, t in globals().items() if n.startswith("test_")):
            begin = time.monotonic()
            test(fleet)
            print(f"{name}: passed in {time.monotonic() - begin:.1f} s", flush=True)
    except BaseException:
        for router in fleet.routers:
            print(f"--- {router.name}\n" + "\n".join(json.dumps(line) for line in list(router.log_lines())[-25:]), flush=True)
        raise
    finally:
        fleet.close()


main()
