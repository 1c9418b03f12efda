"""Versions add and remove routes that are used once, while orders go on."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, Requester, Server, Site, desired, play, route

VERSIONS = 5
ROUTES = 400  # of one version; the site file has big_config with count = 400
TIMEOUT_MS = 2000
ORDERS = 16  # requesters that send an order after the other on a kept channel
ORDER_S = 0.4
LIMIT_S = 70

ran = set()  # ids of the requests that a server has run


def serve(server, connection, path, headers, body):
    """A sound server: a stream of three events, or an order that takes a while."""
    rid = headers.get("request-id", "")
    ran.add(rid)
    if path.startswith("/order"):
        time.sleep(ORDER_S)
        return b"x" * 800
    out = (
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Keep-Alive: timeout=20\r\n\r\n" % (rid, server.id, rid)
    ).encode()
    for i in range(1, 4):
        event = ("id: %d\ndata: tok\n\n" % i).encode()
        out += b"%x\r\n%s\r\n" % (len(event), event)
    connection.sendall(out + b"0\r\n\r\n")
    return True


def guide(name, prefix):
    return route(name, prefix, "shop", "stream", can_resume=True, target_gap_ms=200)


class Counts:
    """What the requesters have seen."""

    sent = served = 0
    late = 0  # without an answer at the route's timeout
    silent = 0  # and still without one half a second later
    closed = 0  # run by a server, and the channel was closed without a whole answer


def case(box):
    site = Site(FOLDER, controls=3, entries=1)
    box.append(site)
    site.start()
    base = [guide("guide", "/guide/"), route("order", "/order/", "shop", "non_idempotent")]
    site.put(desired(1, base, ["shop"]))
    for i in range(2):
        Server(site, i, "shop", serve)
    site.await_ready(0)
    entry = site.entries[0].process
    begun = time.monotonic()
    counts, lock, done = Counts(), threading.Lock(), threading.Event()

    def over():
        return done.is_set() or entry.poll() is not None or time.monotonic() - begun > LIMIT_S

    def send(requester, rid, path, method):
        sent_at = time.monotonic()
        status, _, data = requester.call(
            rid, path, method, deadline_ms=TIMEOUT_MS, wait_s=TIMEOUT_MS / 1000 + 0.5)
        took = time.monotonic() - sent_at
        with lock:
            counts.sent += 1
            counts.served += status == 200
            counts.late += took >= TIMEOUT_MS / 1000
            if status == 0 and b"timed out" in data:
                counts.silent += 1
            elif status == 0:
                counts.closed += rid in ran
        if status != 200:
            site.record.write("%s %s: status %d %r after %.2f s%s" % (
                rid, path, status, data[:60], took, ", a server has run it" if rid in ran else ""))

    def orders(number):
        requester = Requester(site, 0)
        for i in range(100000):
            if over():
                break
            send(requester, "o%d-%d" % (number, i), "/order/%d" % i, "POST")

    threads = [threading.Thread(target=orders, args=(i,)) for i in range(ORDERS)]
    for t in threads:
        t.start()
    requester = Requester(site, 0)
    used = 0
    for version in range(VERSIONS):
        added = [
            guide("guide-%d-%d" % (version, i), "/guide/%d/%d/" % (version, i)) for i in range(ROUTES)
        ]
        # Each version removes the routes of the one before, so that there are never more than 402.
        site.put(desired(10 + version, base + (added if TROUBLE else []), ["shop"]))
        time.sleep(2.2)
        for i in range(ROUTES):
            if over():
                break
            used += 1
            send(requester, "g%d" % used,
                 "/guide/%d/%d/x" % (version, i) if TROUBLE else "/guide/x", "GET")
        site.record.write("version %d: %d requests on added routes so far" % (10 + version, used))
    if not over():
        time.sleep(3)
    done.set()
    for t in threads:
        t.join()
    ended = entry.poll()
    summary = (
        "%d requests, %d of them on added routes, %d served; run by a server and the channel closed "
        "without a whole answer: %d; no answer at the timeout: %d, nor half a second later: %d; the "
        "entry process %s"
        % (counts.sent, used, counts.served, counts.closed, counts.late, counts.silent,
           "runs" if ended is None else "has ended by itself with %d" % ended)
    )
    site.record.write(summary)
    print(summary)
    return BROKEN if counts.closed > 3 or counts.silent * 2 > counts.late else HELD


play(FOLDER, case)
