"""The first requests with a new first part hold a part that crashes servers; sound ones follow."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, Engine, NotReady, Requester, Site, desired, play, route

ENGINES, ENTRIES, EVENTS = 5, 2, 5
DOWN_S = 2.0  # "the server is back after some seconds"
CONTACT_WINDOW_S = 3.0
KEY = "n2ctnfzs989anu6wsjnb"
BEFORE, DEADLY, NEW = "aaaa0001", "dead0001", "bbbb0001"  # ids of parts

crashes = []  # times


def serve(server, connection, path, headers, body):
    if DEADLY in headers.get("prompt-prefix", ""):
        crashes.append(time.monotonic())
        server.layers, server.orders = {"from": 0, "to": 0, "version": 1}, 0
        server.crash(DOWN_S)
        return None
    rid = headers.get("request-id", "")
    connection.sendall((
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Keep-Alive: timeout=20\r\n\r\n" % (rid, server.id, rid)
    ).encode())
    for i in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        event = ("id: %d\ndata: tok\n\n" % i).encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(0.01)
    connection.sendall(b"0\r\n\r\n")
    return True


def case(box):
    site = Site(FOLDER, controls=3, entries=ENTRIES)
    box.append(site)
    site.start()
    guide = route("guide", "/guide/", "lm", "stream", can_resume=True, target_gap_ms=200,
                  timeout_ms=20000, public=False)
    state = desired(1, [guide], [], ["lm"])
    state["tenants"] = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    site.put(state)
    engines = [Engine(site, i, "lm", serve) for i in range(ENGINES)]
    for i in range(ENTRIES):
        site.await_ready(i)
    end = time.monotonic() + 30
    while any(e.layers["to"] == 0 for e in engines):
        if time.monotonic() > end:
            raise NotReady("the engines got no layers")
        time.sleep(0.1)
    time.sleep(3)  # reports and statements spread
    requesters = [Requester(site, i) for i in range(ENTRIES)]
    sent = 0

    def send(*parts):
        """Sends one stream at the entries in turn; returns its status."""
        nonlocal sent
        sent += 1
        prefix = ",".join("%s:100" % p for p in parts) + ",%08x:50" % sent
        status, _, data = requesters[sent % ENTRIES].call(
            "g%d" % sent, "/guide/%d" % sent, deadline_ms=20000,
            extra={"Model": "m", "Token-Count": "250,20", "Prompt-Prefix": prefix, "Credential": KEY})
        site.record.write("g%d with %s: status %d" % (sent, prefix, status))
        return status

    def sound(first, count):
        served = 0
        for _ in range(count):
            served += send(first, "cccc0001") == 200
            time.sleep(0.15)
        return served

    before = sound(BEFORE, 30)
    if TROUBLE:
        for _ in range(3):
            send(NEW, DEADLY)
            time.sleep(0.3)
        last = crashes[4] if len(crashes) > 4 else crashes[-1]
        while time.monotonic() < last + 2 * CONTACT_WINDOW_S + 0.5:
            time.sleep(0.5)
            send(NEW, DEADLY)  # such requests still come
    served = total = 0
    for _ in range(10):
        total += 4
        served += sound(NEW, 4)
        if TROUBLE:
            send(NEW, DEADLY)
    summary = (
        "%d crashes; sound requests with the same key served at the first attempt: %d of 30 before, "
        "%d of %d later than twice the contact window after the last of the crashes"
        % (len(crashes), before, served, total)
    )
    site.record.write(summary)
    print(summary)
    return BROKEN if served / total < 0.5 * before / 30 else HELD


play(FOLDER, case)
