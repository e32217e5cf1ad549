"""A change of the configuration is made while the store is silent for a second; 4 s later the zone is lost whose two routers have the short watches
of the configuration; then a key is revoked. The other routers, which are in touch all the while, must refuse the key `apply_ms` later."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

ZONES = {"north-pl": 2, "central-cp": 2, "south-mb": 1}  # the routers of plpic-tally
SILENT_S = 1.0
CONTACT_S = 3.0
APPLY_S = 2.0
PROBE_S = 24.0
PROBE_INTERVAL_S = 0.25


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = standins.Record(pathlib.Path(__file__).with_name("record.txt"))
    store = standins.Store()
    store.put("config", "main", standins.configuration(1, ["key-kept", "key-revoked"]))
    for zone in ZONES:
        server = standins.Server(f"i-{zone}", record)
        store.put("servers", server.instance, standins.server_entry(server, zone))
    fleet = standins.Fleet(ZONES, store)
    try:
        fleet.wait_ready(10)
        record("all routers are ready")
        time.sleep(4)
        if trouble:
            store.is_silent = True
            record("the store is silent")
        time.sleep(SILENT_S / 2)
        store.put("config", "main", standins.configuration(2, ["key-kept", "key-revoked", "key-new"]))
        record("configuration 2 is written")
        time.sleep(SILENT_S / 2)
        store.is_silent = False
        record(f"the store answers; {store.lost_answers} answers were lost")
        time.sleep(CONTACT_S + 1)
        lost = [router for router in fleet.routers if router.zone == "north-pl"] if trouble else []
        for router in lost:
            router.stop()
            record(f"{router.name} is lost")
        time.sleep(1)
        store.put("config", "main", standins.configuration(3, ["key-kept", "key-new"]))
        revoked = time.monotonic()
        record("configuration 3 is acknowledged: key-revoked is revoked")
        sent, stale, served, last = 0, 0, 0, 0.0
        while time.monotonic() < revoked + PROBE_S:
            for router in fleet.routers:
                if router in lost:
                    continue
                for key in ("key-revoked", "key-kept"):
                    sent += 1
                    age = time.monotonic() - revoked
                    kind = "booking" if sent % 4 < 2 else "history"
                    headers = {"Host": "h.example", "X-Request-Id": f"r-{sent}", "X-Deadline-Ms": "3000", "X-Credential": key}
                    try:
                        status, _ = standins.get(router.ports["frontend"], f"/{kind}/1", headers, 4)
                    except OSError as fault:
                        status = repr(fault)
                    record(f"{router.name} answers r-{sent} ({kind}, {key}) with {status}, sent {age:.3f} s after the acknowledgement")
                    if key == "key-kept":
                        served += status == 200
                    elif status != 401 and age > APPLY_S:
                        stale += 1
                        last = age
            time.sleep(PROBE_INTERVAL_S)
        if served * 4 < sent:
            record("under half of the requests with the kept key were served: no result")
            return 2
        text = f"{stale} requests with the revoked key not refused, sent {APPLY_S} s or more after the acknowledgement; the last {last:.1f} s after it"
        record(text)
        print(text)
        return 1 if stale else 0
    except (OSError, RuntimeError) as fault:
        record(f"could not run: {fault}")
        print(fault)
        return 2
    finally:
        fleet.close()


sys.exit(main())
