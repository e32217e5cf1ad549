"""A resumable stream breaks off, and the servers that are asked to resume it are full: does it look complete to its client?"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins as st  # noqa: E402

EVENTS = 40
STREAMS = 12


def main() -> int:
    folder = pathlib.Path(__file__).parent
    deployment = st.Deployment(folder, st.configuration([st.route("reply", "streaming", "tally-llm", resumable=True, max_attempts=3)]))
    record = deployment.record
    servers = [st.Upstream(deployment.store, record, f"i-{i + 1}", "tally-llm", zone, events=EVENTS, gap_s=0.1)
               for i, zone in enumerate(deployment.ZONES)]
    deployment.start_routers()
    time.sleep(1.0)
    answers = {}

    def client(number):
        request = f"reply-{number}"
        router = deployment.routers[number % len(deployment.routers)]
        record(f"client: sends {request} to {router.name}")
        try:
            answers[request] = st.call(router.port, "POST", "/reply/2f",
                                       st.client_headers(request, 10000, prompt=f"5c1e07a2:119,{number + 16:x}:580,{number + 64:x}:130"), b"?" * 830)
        except OSError as fault:
            record(f"client: {request}: {fault}")

    clients = [threading.Thread(target=client, args=(n,)) for n in range(STREAMS)]
    for each in clients:
        each.start()
    time.sleep(1.5)
    if st.TROUBLE:
        crashed = max(servers, key=lambda server: len(server.running))
        for server in servers:
            server.full = server is not crashed
        record(f"the others have no free place; {crashed.name} crashes with {len(crashed.running)} streams")
        crashed.crash()
    for each in clients:
        each.join()

    short, whole, cut = [], 0, 0
    for request, answer in sorted(answers.items()):
        pieces = answer.body.count(b"data: ")
        record(f"client: {request}: status {answer.status}, stamp {answer.headers.get('x-server-stamp')}, {pieces} of {EVENTS} events, "
               + ("the answer is complete" if answer.complete else "the connection closed before the end of the answer"))
        if answer.status == 200 and answer.complete and pieces < EVENTS:
            short.append(request)
        whole += answer.complete and pieces == EVENTS
        cut += not answer.complete
    deployment.close()
    text = f"{whole} whole, {cut} cut, {len(short)} that end as complete before their last event: {', '.join(short)}"
    record(text)
    print(text)
    if not st.TROUBLE:
        return 0 if whole == STREAMS else 2
    return 1 if short else 0


st.run(main)
