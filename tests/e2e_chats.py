"""Guards against answers that are truncated, mixed up or duplicated between engine and caller, and against later turns of a
chat that are routed to another engine than its first turn."""

import threading
import time

from e2e_support import ACCOUNT_KEY, Chat, Fleet, Run, call, chat, expected_text, wait_for

DOMAINS = {"kr-central-a": "kr", "kr-central-b": "kr", "kr-central-c": "kr"}
PROMPT = "a design brief for the spring fair " * 40


def engine_requests(fleet: Fleet) -> dict:
    return {name: engine.counters()["requests"] for name, engine in fleet.engines.items()}


def returning_chat_stays(run: Run) -> None:
    fleet = Fleet(run, DOMAINS, routers=2)
    conversation = Chat("visit-1", PROMPT)
    for turn in range(4):
        answer = conversation.turn(fleet.routers[turn % 2].port)
        assert answer.finished and answer.error is None, (answer.status, answer.error)
        if turn > 0:
            assert answer.cached_tokens > 0, f"turn {turn} found nothing cached: {engine_requests(fleet)}"
    used = [name for name, count in engine_requests(fleet).items() if count > 0]
    assert len(used) == 1, f"the chat moved: {engine_requests(fleet)}"


def many_chats_get_their_own_answers(run: Run) -> None:
    fleet = Fleet(run, DOMAINS, routers=2, engine_options=("--token-ms", "2"))
    engine = next(iter(fleet.engines.values()))
    problems: list[str] = []

    def run_chat(number: int) -> None:
        messages = [{"role": "user", "content": f"chat {number} asks for a plan of its own"}]
        while True:
            answer = chat(fleet.routers[number % 2].port, f"c{number}", messages, 20)
            if answer.status != 503 and answer.status != 429:
                break
            time.sleep(0.05)
        if not answer.finished or answer.text != expected_text(engine, messages, 20):
            problems.append(f"{number}: {answer.status} {answer.error} {answer.text!r}")

    for begin in range(0, 60, 15):
        threads = [threading.Thread(target=run_chat, args=(n,)) for n in range(begin, begin + 15)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
    assert not problems, problems


def broken_and_silent_engine_connections(run: Run) -> None:
    fleet = Fleet(run, {"kr-central-a": "kr"}, engine_options=("--token-ms", "20"))
    engine = fleet.engines["kr-central-a-engine-1"]
    messages = [{"role": "user", "content": PROMPT}]
    expected = expected_text(engine, messages, 60)

    engine.faults(half_answers=1)
    answer = chat(fleet.routers[0].port, "half", messages, 60)
    assert answer.finished and answer.text == expected, (answer.error, answer.text)

    fired = threading.Event()

    def silence(partial) -> None:
        if partial.chunks == 5 and not fired.is_set():
            fired.set()
            engine.faults(silence_running=True)

    begin = time.monotonic()
    answer = chat(fleet.routers[0].port, "silent", messages, 60, on_chunk=silence)
    assert answer.finished and answer.text == expected, (answer.error, answer.text)
    assert time.monotonic() - begin < 10


def frozen_agent_and_router_connections(run: Run) -> None:
    """Freezes an agent for 3 s: the router must resume over a new connection and deliver the complete answer."""
    fleet = Fleet(run, {"kr-central-a": "kr"}, engine_options=("--token-ms", "20"))
    agent = fleet.agents["kr-central-a-engine-1"].process
    messages = [{"role": "user", "content": PROMPT}]
    expected = expected_text(fleet.engines["kr-central-a-engine-1"], messages, 60)

    def freeze(partial) -> None:
        if partial.chunks == 5:
            agent.freeze()
            threading.Timer(3, agent.thaw).start()

    answer = chat(fleet.routers[0].port, "frozen", messages, 60, on_chunk=freeze)
    assert answer.finished and answer.text == expected, (answer.error, answer.text)


def caller_leaves_and_engine_stops(run: Run) -> None:
    fleet = Fleet(run, {"kr-central-a": "kr"}, engine_options=("--token-ms", "20"))
    engine = fleet.engines["kr-central-a-engine-1"]

    class CallerLeft(Exception):
        pass

    def disconnect(partial) -> None:
        raise CallerLeft

    try:
        chat(fleet.routers[0].port, "leaver", [{"role": "user", "content": PROMPT}], 2000, on_chunk=disconnect)
    except CallerLeft:
        pass
    wait_for(lambda: engine.counters()["running"] == 0, 5, "the engine stops a request whose caller left")


def graceful_shutdown_cuts_nothing(run: Run) -> None:
    fleet = Fleet(run, DOMAINS, routers=2, engine_options=("--token-ms", "20"))
    messages = [{"role": "user", "content": PROMPT}]
    answers = []
    started = threading.Barrier(7, timeout=20)

    def run_chat(number: int) -> None:
        def wait(partial) -> None:
            if partial.chunks == 1:
                started.wait()
        answers.append(chat(fleet.routers[number % 2].port, f"c{number}", messages, 60, on_chunk=wait))

    threads = [threading.Thread(target=run_chat, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    started.wait()
    daemons = [*fleet.agents.values(), *fleet.routers]
    stops = [threading.Thread(target=lambda d=d: codes.append(d.process.stop(20))) for d in daemons]
    codes: list[int] = []
    for stop in stops:
        stop.start()
    for thread in threads + stops:
        thread.join(30)
    assert len(answers) == 6 and all(a.finished and a.error is None for a in answers), [(a.status, a.error) for a in answers]
    assert codes == [0] * len(daemons), codes


def refusals_name_their_remedy(run: Run) -> None:
    fleet = Fleet(run, {"kr-central-a": "kr"})
    port = fleet.routers[0].port
    body = {"model": "brush-llm", "messages": [{"role": "user", "content": "x"}]}
    status, _, text = call(port, "POST", "/v1/chat/completions", body, {"Authorization": "Bearer wrong"})
    assert status in (401, 403) and '"remedy"' in text and '"not_run"' in text, (status, text)
    headers = {"Authorization": f"Bearer {ACCOUNT_KEY}", "X-Nutmegtally-Class": "bookings"}
    status, _, text = call(port, "POST", "/services/booking-app/book", {"crew": 1}, headers)
    assert status >= 400 and '"not_run"' in text, (status, text)


def main() -> None:
    for case in (returning_chat_stays, many_chats_get_their_own_answers, broken_and_silent_engine_connections,
                 frozen_agent_and_router_connections, caller_leaves_and_engine_stops, graceful_shutdown_cuts_nothing,
                 refusals_name_their_remedy):
        begin = time.monotonic()
        with Run() as run:
            case(run)
        print(f"{case.__name__}: ok, {time.monotonic() - begin:.2f} s", flush=True)


main()
