"""Parts of the scripts on a revoked key: the deployment, a change that the routers' waits miss, and the requests with the key."""

import time

import standins

ZONES = {"north-pl": 2, "central-cp": 2, "south-mb": 1}  # the routers of plpic-tally
SETTLE_S = 4.0
SILENT_S = 1.0
CONTACT_S = 3.0
APPLY_S = 2.0
PROBE_S = 24.0
PROBE_INTERVAL_S = 0.25


class Deployment:
    """A store, a server in each zone, and the routers."""

    def __init__(self, record):
        self.record = record
        self.store = standins.Store()
        self.store.put("config", "main", standins.configuration(1, ["key-kept", "key-revoked"]))
        for zone in ZONES:
            server = standins.Server(f"i-{zone}", record)
            self.store.put("servers", server.instance, standins.server_entry(server, zone))
        self.fleet = standins.Fleet(ZONES, self.store)
        self.lost = []

    def start(self):
        self.fleet.start()
        self.fleet.wait_ready(10)
        self.record("all routers are ready")
        time.sleep(SETTLE_S)

    def change_configuration(self, is_silent):
        """Writes configuration 2, in the middle of a second in which the store is silent if it shall be."""
        self.store.is_silent = is_silent
        if is_silent:
            self.record("the store is silent")
        time.sleep(SILENT_S / 2)
        self.store.put("config", "main", standins.configuration(2, ["key-kept", "key-revoked", "key-new"]))
        self.record("configuration 2 is written")
        time.sleep(SILENT_S / 2)
        self.store.is_silent = False
        self.record(f"the store answers; {self.store.lost_answers} answers were lost")
        time.sleep(CONTACT_S + 1)

    def lose_zone(self, zone):
        self.lost = [router for router in self.fleet.routers if router.zone == zone]
        for router in self.lost:
            router.stop()
            self.record(f"{router.name} is lost")

    def send(self, router, number, key):
        kind = "booking" if number % 4 < 2 else "history"
        headers = {"Host": "h.example", "X-Request-Id": f"r-{number}", "X-Deadline-Ms": "3000", "X-Credential": key}
        try:
            status, _ = standins.get(router.ports["frontend"], f"/{kind}/1", headers, 4)
        except OSError as fault:
            status = repr(fault)
        return kind, status

    def revoke(self):
        """Revokes a key, and sends requests with it and with another one. Returns the exit status of the script."""
        self.store.put("config", "main", standins.configuration(3, ["key-kept", "key-new"]))
        revoked = time.monotonic()
        self.record("configuration 3 is acknowledged: key-revoked is revoked")
        sent, stale, served, last = 0, 0, 0, 0.0
        while time.monotonic() < revoked + PROBE_S:
            for router in self.fleet.routers:
                for key in ("key-revoked", "key-kept") if router not in self.lost else ():
                    sent += 1
                    age = time.monotonic() - revoked
                    kind, status = self.send(router, sent, key)
                    self.record(f"{router.name} answers r-{sent} ({kind}, {key}) with {status}, sent {age:.3f} s after the acknowledgement")
                    if key == "key-kept":
                        served += status == 200
                    elif status == 200 and age > APPLY_S:
                        stale += 1
                        last = age
            time.sleep(PROBE_INTERVAL_S)
        if served * 4 < sent:
            self.record("under half of the requests with the kept key were served: no result")
            return 2
        text = f"{stale} requests with the revoked key ran that were sent over {APPLY_S} s after the acknowledgement; the last {last:.1f} s after it"
        self.record(text)
        print(text)
        return 1 if stale else 0


def run(folder, scenario):
    """Plays scenario(deployment) and returns the exit status."""
    record = standins.Record(folder / "record.txt")
    deployment = Deployment(record)
    try:
        deployment.start()
        return scenario(deployment)
    except (OSError, RuntimeError) as fault:
        record(f"could not run: {fault}")
        print(fault)
        return 2
    finally:
        deployment.fleet.close()
