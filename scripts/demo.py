"""The run behind scripts/demo: stand-ins, agents and routers on loopback, and what callers and operators see."""

import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests"))

from e2e_support import Chat, PlatformFleet, Run, book_until_settled, key_v7, wait_for  # noqa: E402  (beside the tests)

DOMAINS = {"kr-central-a": "kr", "kr-central-b": "kr", "kr-central-c": "kr"}
CLOSED = "kr-central-b"


def say(text: str) -> None:
    print(f"demo: {text}", flush=True)


def show_streamed_chat(fleet: PlatformFleet, visit: Chat) -> None:
    begin = time.monotonic()
    times: list[float] = []
    answer = visit.turn(fleet.routers[0].port, 24, on_chunk=lambda partial: times.append(time.monotonic() - begin))
    assert answer.finished, answer.error
    say(f"a streamed chat: {answer.chunks} pieces, the first after {times[0] * 1000:.0f} ms, the last after"
        f" {times[-1] * 1000:.0f} ms; prompt {answer.usage['prompt_tokens']} tokens, {answer.cached_tokens} of them cached")


def show_returning_chat(fleet: PlatformFleet, visit: Chat) -> None:
    before = fleet.engine_requests()
    answers = [visit.turn(router.port, 24) for router in fleet.routers]
    assert all(answer.finished for answer in answers), [answer.error for answer in answers]
    after = fleet.engine_requests()
    used = [name for name in after if after[name] > before[name]]
    assert len(used) == 1 and before[used[0]] > 0, (before, after)
    share = answers[-1].cached_tokens / answers[-1].usage["prompt_tokens"]
    say(f"the chat returns through both routers: served by {used[0]} again, {share:.0%} of the last prompt was cached")


def show_booking(fleet: PlatformFleet) -> None:
    key = key_v7(random.Random(1))
    ports = [router.port for router in fleet.routers]
    first = book_until_settled(ports, key, 15)
    assert first == "acknowledged", first
    second = book_until_settled(ports[1:], key, 15)  # the other router may hear of the service later
    assert second == "acknowledged", second
    executions = fleet.executions()
    assert executions == {key: 1}, executions
    say(f"a booking sent twice, through both routers: both times answered, executed once ({key})")


def closed_requests(fleet: PlatformFleet) -> int:
    return sum(count for name, count in fleet.engine_requests().items() if name.startswith(CLOSED))


def show_closure(fleet: PlatformFleet) -> None:
    stopped = threading.Event()
    finished: list[int] = []
    cut: list = []

    def load(number: int) -> None:
        turn = 0
        while not stopped.is_set():
            turn += 1
            answer = Chat(f"load-{number}-{turn}", f"caller {number} asks {turn} " * 20).turn(fleet.routers[number % 2].port, 12)
            (finished if answer.finished else cut if answer.status == 200 else []).append(number)

    threads = [threading.Thread(target=load, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    try:
        wait_for(lambda: closed_requests(fleet) > 2, 15, "all domains get work")
        fleet.ctl("domain", "close", CLOSED, "--reason", "power", "--force")
        time.sleep(3)
        before = closed_requests(fleet)
        time.sleep(2)
        after = closed_requests(fleet)
        say(f"{CLOSED} closed with nutmegtallyctl: {after - before} new requests there between 3 s and 5 s after the closure")
        assert after == before
        fleet.ctl("domain", "reopen", CLOSED, "--reason", "power is back")
        begin = time.monotonic()
        wait_for(lambda: closed_requests(fleet) > after, 15, "the reopened domain gets work")
        say(f"{CLOSED} reopened: first new request after {time.monotonic() - begin:.1f} s")
    finally:
        stopped.set()
        for thread in threads:
            thread.join(20)
    assert not cut, cut
    say(f"meanwhile {len(finished)} streams finished and none was cut")


def main() -> None:
    begin = time.monotonic()
    with Run() as run:
        fleet = PlatformFleet(run, DOMAINS, services=2)
        say(f"{len(fleet.engines)} stand-in engines and {len(fleet.services)} services in {len(DOMAINS)} failure domains,"
            f" {len(fleet.agents)} agents, {len(fleet.routers)} routers are ready")
        visit = Chat("visit-1", "a design brief for the spring fair " * 60)
        show_streamed_chat(fleet, visit)
        show_returning_chat(fleet, visit)
        show_booking(fleet)
        show_closure(fleet)
        codes = [daemon.process.stop() for daemon in [*fleet.routers, *fleet.agents.values()]]
        assert codes == [0] * len(codes), codes
        for process in run.processes:
            process.stop()
        left = [process.name for process in run.processes if process.running()]
        assert not left, left
    say(f"all {len(run.processes)} processes have ended; {time.monotonic() - begin:.1f} s")


main()
