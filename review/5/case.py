"""One router is cut off from the store for two seconds, in which a server appears and leaves: does the router use it afterwards?"""

import pathlib
import socket
import socketserver
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins as st  # noqa: E402

CUT_S = 2.4
REQUESTS = 60


class Path:
    """The path between a router and the store. During a cut the bytes of both directions are held, as a network resends them after it."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.target, self.whole = (host, int(port)), threading.Event()
        self.whole.set()
        path = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                path.whole.wait()
                with socket.create_connection(path.target) as peer:
                    back = threading.Thread(target=path.pump, args=(peer, self.request), daemon=True)
                    back.start()
                    path.pump(self.request, peer)
                    back.join()

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, request, client_address):
                pass  # a router that was killed

        self.server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def pump(self, source, sink):
        try:
            while chunk := source.recv(65536):
                self.whole.wait()
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def main() -> int:
    folder = pathlib.Path(__file__).parent
    deployment = st.Deployment(folder, st.configuration([st.route("booking", "non_idempotent", "dispatch-app", timeout_ms=1500)]))
    record, store = deployment.record, deployment.store
    for i, zone in enumerate(deployment.ZONES):
        st.Upstream(store, record, f"j-{i + 1}", "dispatch-app", zone, capacity=6)
    deployment.paths = [Path(store.address) for _ in range(3)]
    deployment.start_routers()
    time.sleep(6.0)  # all machines are in touch

    late = []
    for number, router in enumerate(deployment.routers):
        path = deployment.paths[number]
        server = st.Upstream(store, record, f"late-{number + 1}", "dispatch-app", router.zone, capacity=6, register=False)
        late.append(server)
        if st.TROUBLE:
            record(f"{router.name} is cut off from the store")
            path.whole.clear()
        time.sleep(0.2)
        server.register()
        record(f"{server.name} is registered")
        time.sleep(0.8)
        server.state = "draining"  # it doesn't report this to the store
        server.gone_at = store.delete("servers", server.name)
        record(f"the store acknowledges that {server.name} is gone; it goes on serving")
        time.sleep(CUT_S - 1.0)
        path.whole.set()
        record(f"{router.name} reaches the store")
        time.sleep(1.0)
    time.sleep(6.0)  # contact_ms and drain_ms after the last cut have long passed

    answered = 0
    for number in range(REQUESTS):
        router = deployment.routers[number % 3]
        request = f"booking-{number}"
        record(f"client: sends {request} to {router.name}")
        answered += st.call(router.port, "POST", "/booking/2f", st.client_headers(request, 3000), b"dig").status == 200
    stale = [(server.name, request, at - server.gone_at) for server in late for at, request, _ in server.runs
             if at > server.gone_at + st.BOUNDS["drain_ms"] / 1000]
    deployment.close()
    for name, request, after in stale:
        record(f"{request} reached {name} {after:.1f} s after the store acknowledged that it is gone")
    text = f"{answered} of {REQUESTS} answered; requests at a server that is gone: {len(stale)}"
    record(text)
    print(text)
    if not st.TROUBLE:
        return 0 if answered == REQUESTS and not stale else 2
    return 1 if stale else 0


st.run(main)
