"""Guards against stand-ins that deviate from the protocols of section 9.1: the other tests rely on them."""

import http.client
import json
import threading
import time

from e2e_support import Run, call, call_json, wait_for

MESSAGES = [{"role": "user", "content": "inspect the north line " * 40}]


def objects_conditional_update_and_restart(run: Run) -> None:
    objects = run.standin("objects", "--file", run.folder / "objects.data")
    port = objects.port
    status, headers, _ = call(port, "PUT", "/objects/config/head", "one", {"If-None-Match": "*"})
    assert status == 201, status
    first = headers["ETag"]
    assert call(port, "PUT", "/objects/config/head", "two", {"If-None-Match": "*"})[0] == 412
    status, headers, _ = call(port, "PUT", "/objects/config/head", "two", {"If-Match": first})
    assert status == 200
    second = headers["ETag"]
    status, headers, _ = call(port, "PUT", "/objects/config/head", "three", {"If-Match": first})
    assert status == 412 and headers["ETag"] == second, (status, headers)
    listed = call_json(port, "GET", "/objects?prefix=config/")
    assert listed == [{"name": "config/head", "version": int(second.strip('"')), "bytes": 3}], listed

    seen = {}
    watch = f"/objects/config/head?watch={second.strip(chr(34))}&timeout_ms=5000"
    waiter = threading.Thread(target=lambda: seen.update(answer=call(port, "GET", watch)))
    waiter.start()
    wait_for(lambda: objects.counters()["waiting_watches"] == 1, 5, "the watch waits")
    call(port, "PUT", "/objects/config/head", "four", {"If-Match": second})
    waiter.join(5)
    assert seen["answer"][0] == 200 and seen["answer"][2] == "four", seen
    third = seen["answer"][1]["ETag"]
    assert call(port, "GET", f"/objects/config/head?watch={third.strip(chr(34))}&timeout_ms=50")[0] == 304

    # A write whose answer is lost must have taken effect, because tests that read it back rely on this.
    objects.faults(lose_answers=1)
    try:
        call(port, "PUT", "/objects/config/head", "five", {"If-Match": third})
        raise AssertionError("the answer was not lost")
    except (http.client.HTTPException, ConnectionError):
        pass
    assert call(port, "GET", "/objects/config/head")[2] == "five"

    objects.faults(outage=True)
    assert call(port, "GET", "/objects/config/head")[0] == 503
    objects.restart()
    assert call(port, "GET", "/objects/config/head")[2] == "five", "a restart lost the object"
    assert call(port, "GET", "/objects/none")[0] == 404


def service_counts_executions(run: Run) -> None:
    service = run.standin("service", "--file", run.folder / "service.data")
    assert call(service.port, "POST", "/book", "x", {"Idempotency-Key": "k1"})[0] == 200
    service.faults(lose_answers=1)
    try:
        call(service.port, "POST", "/book", "x", {"Idempotency-Key": "k1"})
        raise AssertionError("the answer was not lost")
    except (http.client.HTTPException, ConnectionError):
        pass
    service.restart()
    call(service.port, "GET", "/history")
    counters = service.counters()
    assert counters["executions"] == {"k1": 2} and counters["reads"] == 1, counters


def vms_lag_and_missing(run: Run) -> None:
    vms = run.standin("vms")
    call_json(vms.port, "PUT", "/vms/a", {"domain": "d", "region": "r", "role": "agent", "address": "1:1", "state": "live"})
    status, headers, text = call(vms.port, "GET", "/vms")
    assert status == 200 and [v["name"] for v in json.loads(text)["vms"]] == ["a"], text
    assert call(vms.port, "GET", "/vms", headers={"If-None-Match": headers["ETag"]})[0] == 304
    vms.faults(missing=["a"])
    assert call_json(vms.port, "GET", "/vms")["vms"] == []
    vms.faults(missing=[], lag_ms=60000)
    call_json(vms.port, "DELETE", "/vms/a")
    assert len(call_json(vms.port, "GET", "/vms")["vms"]) == 1, "the lag was ignored"


def stream(port: int, request_id: str, tokens: int, offset: int = 0, cut_after=None):
    """Streams a chat completion; returns (text, usage or None, whether [DONE] was received)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"X-Request-Id": request_id, "X-Nutmegtally-Chat": "c1", "X-Resume-Offset": str(offset)}
    body = {"model": "m", "stream": True, "max_tokens": tokens, "messages": MESSAGES}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    text, usage, complete = "", None, False
    try:
        for line in connection.getresponse():
            if line.startswith(b"data: [DONE]"):
                complete = True
            elif line.startswith(b"data: "):
                chunk = json.loads(line[6:])
                usage = chunk.get("usage", usage)
                text += chunk["choices"][0]["delta"].get("content", "")
            if cut_after is not None and len(text) >= cut_after:
                break
    except (http.client.HTTPException, ConnectionError):
        pass
    connection.close()
    return text, usage, complete


def engine_streams_resumes_and_caches(run: Run) -> None:
    engine = run.standin("engine", "--token-ms", "3", "--cache-event-delay-ms", "0", "--load-lag-ms", "0")
    text, usage, complete = stream(engine.port, "r1", 40)
    assert complete and usage["prompt_tokens_details"]["cached_tokens"] == 0, usage
    part, _, _ = stream(engine.port, "r2", 40, cut_after=20)
    rest, usage, complete = stream(engine.port, "r2", 40, offset=len(part))
    assert complete and part + rest == text, "a resumed answer differs"
    assert usage["prompt_tokens_details"]["cached_tokens"] > 0, usage
    engine.faults(half_answers=1)
    assert not stream(engine.port, "r3", 40)[2], "half an answer was marked complete"
    events = call_json(engine.port, "GET", "/cache_events?since=0")
    assert events["events"][0]["chat"] == "c1" and events["next"] > 0, events
    before = call_json(engine.port, "GET", "/load")["incarnation"]
    engine.faults(restart=True)
    assert call_json(engine.port, "GET", "/load")["incarnation"] > before
    assert call(engine.port, "GET", "/kv/c1")[0] == 404, "a restart kept the cache"


def engine_cancel_and_silence(run: Run) -> None:
    engine = run.standin("engine", "--token-ms", "20", name="engine-slow")
    result = {}
    reader = threading.Thread(target=lambda: result.update(cut=stream(engine.port, "r1", 500)))
    reader.start()
    wait_for(lambda: engine.counters()["running"] == 1, 5, "the request runs")
    assert call(engine.port, "DELETE", "/v1/requests/r1")[0] == 200
    reader.join(5)
    assert not result["cut"][2] and engine.counters()["running"] == 0, engine.counters()
    assert call(engine.port, "DELETE", "/v1/requests/r1")[0] == 404

    connection = http.client.HTTPConnection("127.0.0.1", engine.port, timeout=0.5)
    body = json.dumps({"stream": True, "max_tokens": 500, "messages": MESSAGES})
    connection.request("POST", "/v1/chat/completions", body, {"X-Request-Id": "r2"})
    answer = connection.getresponse()
    answer.readline()
    engine.faults(silence_running=True)
    try:
        while answer.readline():
            pass
        raise AssertionError("the silent connection was closed")
    except TimeoutError:
        pass
    connection.close()
    assert stream(engine.port, "r3", 3)[2], "a new connection is silent too"


def engine_cold_start_and_orders(run: Run) -> None:
    engine = run.standin("engine", "--cold-start-ms", "60000", "--cold-concurrency", "1", "--checks-fencing", "--order-ms", "1",
                         name="engine-cold")
    reader = threading.Thread(target=stream, args=(engine.port, "r1", 20))
    reader.start()
    wait_for(lambda: engine.counters()["running"] == 1, 5, "the request runs")
    body = {"messages": MESSAGES}
    assert call(engine.port, "POST", "/v1/chat/completions", body)[0] == 503, "a cold engine took a second request"
    reader.join(20)
    assert call(engine.port, "POST", "/orders", {"kind": "load_model", "fencing": 5})[0] == 200
    assert call(engine.port, "POST", "/orders", {"kind": "load_model", "fencing": 4})[0] == 409
    assert len(engine.counters()["orders"]) == 1


def main() -> None:
    for case in (objects_conditional_update_and_restart, service_counts_executions, vms_lag_and_missing,
                 engine_streams_resumes_and_caches, engine_cancel_and_silence, engine_cold_start_and_orders):
        begin = time.monotonic()
        with Run() as run:
            case(run)
        print(f"{case.__name__}: ok, {time.monotonic() - begin:.2f} s")


main()
