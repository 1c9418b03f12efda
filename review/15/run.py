"""Sound model servers fall silent for a moment, one after the other, while they stream."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, Engine, NotReady, Requester, Site, desired, play, route

ENGINES, STREAMS, EVENTS, EVENT_S = 4, 24, 90, 0.1
SILENT_S = 1.2  # "a second or so"
MAX_ATTEMPTS = 2

ran = {}  # request id -> servers that have run it
lock = threading.Lock()


def serve(server, connection, path, headers, body):
    """Streams the events after Last-Event-Id; pauses while the server is silent."""
    rid = headers.get("request-id", "")
    with lock:
        ran.setdefault(rid, []).append(server.id)
        server.streams += 1
    try:
        connection.sendall((
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            "Keep-Alive: timeout=20\r\n\r\n" % (rid, server.id, rid)
        ).encode())
        for i in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            event = ("id: %d\ndata: tok\n\n" % i).encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_S)
            server.awake.wait()
        connection.sendall(b"0\r\n\r\n")
    finally:
        with lock:
            server.streams -= 1
    return True


def case(box):
    site = Site(FOLDER, controls=3, entries=2)
    box.append(site)
    site.start()
    guide = route("guide", "/guide/", "lm", "stream", can_resume=True, target_gap_ms=200,
                  timeout_ms=20000, max_attempts=MAX_ATTEMPTS)
    site.put(desired(1, [guide], [], ["lm"]))
    engines = [Engine(site, i, "lm", serve) for i in range(ENGINES)]
    for i in range(2):
        site.await_ready(i)
    end = time.monotonic() + 30
    while any(e.layers["to"] == 0 for e in engines):
        if time.monotonic() > end:
            raise NotReady("the engines got no layers")
        time.sleep(0.1)
    time.sleep(3)  # reports and statements spread
    results = {}

    def stream(number):
        r = Requester(site, number % 2)
        status, _, data = r.call("g%d" % number, "/guide/%d" % number, deadline_ms=20000, extra={
            "Model": "m", "Token-Count": "50,90", "Prompt-Prefix": "%x:50" % (number + 1)})
        results[number] = (status, data.count(b"id: "))
        r.close()

    threads = [threading.Thread(target=stream, args=(i,)) for i in range(STREAMS)]
    for t in threads:
        t.start()
        time.sleep(0.05)
    time.sleep(1.0)
    site.record.write("streams by engine: %s" % [e.streams for e in engines])
    for e in engines[:3]:
        if TROUBLE:
            e.fall_silent(SILENT_S)
        time.sleep(SILENT_S + 0.5)
        site.record.write("streams by engine: %s" % [e.streams for e in engines])
    for t in threads:
        t.join()
    many = {rid: servers for rid, servers in ran.items() if len(set(servers)) > MAX_ATTEMPTS}
    whole = sum(s == 200 and n == EVENTS for s, n in results.values())
    for rid, servers in sorted(many.items()):
        site.record.write("%s has run on %s" % (rid, servers))
    summary = "%d streams, %d whole; run on more than %d servers: %d (at most 3 are allowed)" % (
        len(results), whole, MAX_ATTEMPTS, len(many))
    site.record.write(summary)
    print(summary)
    return BROKEN if len(many) > 3 else HELD


play(FOLDER, case)
