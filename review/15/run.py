"""The control processes are stopped and started in turn while servers of streams crash."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, Requester, Server, Site, desired, play, route

RATIO, SLACK, WINDOW_S = 0.2, 60, 10
SERVERS, EVENTS, EVENT_S = 6, 40, 0.1  # a stream lasts 4 s
CRASH_EACH_S, DOWN_S = 0.8, 2.0  # one server at a time, a sixth of them
ENTRIES, PER_SECOND, SECONDS = 3, 25, 40

arrived = {}  # request id -> times at which it reached a server
ran = {}  # request id -> number of runs
lock = threading.Lock()


def serve(server, connection, path, headers, body):
    """A sound server: a stream of EVENTS events, or the rest of it after Last-Event-Id."""
    rid = headers.get("request-id", "")
    with lock:
        arrived.setdefault(rid, []).append(time.monotonic())
        ran[rid] = ran.get(rid, 0) + 1
    connection.sendall((
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Keep-Alive: timeout=20\r\n\r\n" % (rid, server.id, rid)
    ).encode())
    for i in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        event = ("id: %d\ndata: tok\n\n" % i).encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(EVENT_S)
    connection.sendall(b"0\r\n\r\n")
    return True


def case(box):
    site = Site(FOLDER, controls=3, entries=ENTRIES, retry_budget_ratio=RATIO,
                retry_budget_slack=SLACK, budget_window_s=WINDOW_S)
    box.append(site)
    site.start()
    site.put(desired(1, [route("guide", "/guide/", "shop", "stream", can_resume=True,
                                 target_gap_ms=200, timeout_ms=20000)], ["shop"]))
    for p in site.controls:
        p.write_settings(False)
    for i in range(SERVERS):
        Server(site, i, "shop", serve)
    for i in range(ENTRIES):
        site.await_ready(i)
    time.sleep(1.0)
    sent = []
    statuses = {}

    def one(number):
        r = Requester(site, number % ENTRIES)
        status, _, _ = r.call("q%d" % number, "/guide/%d" % number, deadline_ms=20000)
        statuses[status] = statuses.get(status, 0) + 1
        r.close()

    def crash():
        """One server after the other crashes and is back with a new id."""
        end = time.monotonic() + SECONDS - 12
        for n in range(1000):
            if time.monotonic() > end or site.stopping.is_set():
                return
            server = site.servers[n % SERVERS]
            site.record.write("%s crashes" % server.id)
            server.crash(DOWN_S)
            time.sleep(CRASH_EACH_S)

    def restart():
        for p in site.controls:
            site.record.write("SIGTERM to %s" % p.name)
            p.signal(signal.SIGTERM)
            p.process.wait()
            p.start()
            site.record.write("%s is started again" % p.name)
            time.sleep(1.5)

    begun = time.monotonic()
    for n in range(PER_SECOND * SECONDS):
        if n == PER_SECOND * 5:
            threading.Thread(target=crash, daemon=True).start()
        if TROUBLE and n == PER_SECOND * 16:
            threading.Thread(target=restart, daemon=True).start()
        pause = begun + n / PER_SECOND - time.monotonic()
        if pause > 0:
            time.sleep(pause)
        sent.append(time.monotonic())
        threading.Thread(target=one, args=(n,), daemon=True).start()
    time.sleep(6)
    repeats = sorted(t for times in arrived.values() for t in sorted(times)[1:])
    worst, at, allowed_at, found = -1e9, 0, 0, 0
    for start in repeats:
        count = sum(start <= t < start + WINDOW_S for t in repeats)
        requests = max(
            sum(start - back <= t < start - back + WINDOW_S for t in sent)
            for back in (0, WINDOW_S / 2, WINDOW_S))
        allowed = RATIO * requests + SLACK
        if count - allowed > worst:
            worst, at, allowed_at, found = count - allowed, start - begun, allowed, count
    summary = (
        "%d requests, statuses %s; run more than once: %d; repeats at servers %d; in the 10 s from %.1f s on %d repeats, %d are allowed"
        % (len(sent), statuses, sum(c > 1 for c in ran.values()), len(repeats), at, found, allowed_at)
    )
    site.record.write(summary)
    print(summary)
    return BROKEN if worst > 0 else HELD


play(FOLDER, case)
