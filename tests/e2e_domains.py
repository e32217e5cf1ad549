"""Guards against a closed failure domain that still gets work, and against streams that closing or reopening a domain
interrupts."""

import threading
import time

from e2e_support import Chat, PlatformFleet, Run, wait_for

DOMAINS = {"north-pl": "mu", "central-cp": "mu", "south-mb": "mu"}
CLOSED = "south-mb"
CALLERS = 6


class LoadGenerator:
    """Callers with multi-turn chats. A refused request does not count as an interrupted stream; it is repeated."""

    def __init__(self, fleet: PlatformFleet):
        self.fleet = fleet
        self.stopped = threading.Event()
        self.finished = 0
        self.refused = 0
        self.interrupted: list = []
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number: int) -> None:
        count = 0
        while not self.stopped.is_set():
            count += 1
            conversation = Chat(f"caller-{number}-{count}", f"caller {number} chat {count} " * 30)
            for _ in range(3):
                answer = conversation.turn(self.fleet.routers[number % len(self.fleet.routers)].port, 20)
                if answer.finished:
                    self.finished += 1
                elif answer.status in (429, 503):
                    self.refused += 1
                    time.sleep(0.1)
                else:
                    self.interrupted.append((answer.status, answer.error))

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(30)


def closed_requests(fleet: PlatformFleet) -> int:
    return sum(count for name, count in fleet.engine_requests().items() if name.startswith(CLOSED))


def main() -> None:
    with Run() as run:
        fleet = PlatformFleet(run, DOMAINS, engine_options=("--token-ms", "15"))
        load = LoadGenerator(fleet)
        try:
            wait_for(lambda: closed_requests(fleet) > 3, 20, "the domain gets work before its closure")
            fleet.ctl("domain", "close", CLOSED, "--reason", "power", "--force")
            time.sleep(3)  # P3: a closed domain gets no new work after 3 s
            before, finished = closed_requests(fleet), load.finished
            time.sleep(3)
            after = closed_requests(fleet)
            assert after == before, f"{after - before} requests reached the closed domain after 3 s"
            assert load.finished > finished, "no service during the closure"
            fleet.ctl("domain", "reopen", CLOSED, "--reason", "done")
            wait_for(lambda: closed_requests(fleet) > after, 15, "the reopened domain gets work again")
        finally:
            load.stop()
        assert not load.interrupted, load.interrupted
        print(f"closure and reopening: {load.finished} streams finished, {load.refused} refused, none cut")


main()
