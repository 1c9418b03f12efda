"""An empty, fast model server is added to a small pool; then a route is added."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, Engine, NotReady, Requester, Server, Site, desired, play, route

REQUESTS = 30  # to each route; the rule counts from 20 on
CONFIG_APPLY_S = 2.0


class Part(Engine):
    """A model server that holds some of the layers, with a kind of accelerator."""

    LAYERS = 8
    all = {}  # by address

    def __init__(self, site, number, service, run, kind):
        self.kind = kind
        super().__init__(site, number, service, run)
        Part.all[self.address()] = self

    def statement(self):
        return dict(super().statement(), kind=self.kind)

    def answer(self, connection, line, headers, body):
        path = line.split(" ")[1]
        if path in ("/-/report", "/-/order", "/health"):
            if path == "/-/order":
                self.site.record.write("order to %s (%s): %s" % (self.id, self.kind, body.decode()))
            return super().answer(connection, line, headers, body)
        rid = headers.get("request-id", "")
        hops = headers.get("hop-count", "%s=0-%d" % (self.address(), self.LAYERS))
        self.site.record.write("%s reaches %s with Hop-Count %s" % (rid, self.id, hops))
        names = [hop.partition("=")[0] for hop in hops.split(",")]
        if len(set(names)) < len(names) or names[0] != self.address():
            self.send(connection, "400 Bad Request", {"Request-Id": rid, "Server-Stamp": rid}, b"")
            return True
        for hop in hops.split(","):
            address, _, layers = hop.partition("=")
            begin, end = (int(x) for x in layers.split("-"))
            held = Part.all[address].layers
            if begin < held["from"] or end > held["to"]:
                self.send(connection, "421 Misdirected Request",
                          {"Request-Id": rid, "Not-Run": "1", "At-Server": address}, b"")
                return True
        return Server.answer(self, connection, line, headers, body)

    def kv_total(self):
        model = self.model()
        mb = next(k["mb"] for k in model["kinds"] if k["name"] == self.kind)
        free = mb - (self.layers["to"] - self.layers["from"]) * model["layer_mb"]
        return int(free * 1e6 / (model["kv_token_bytes"] / model["layers"]))

    @classmethod
    def model(cls):
        return dict(super().model(), layers=cls.LAYERS, layer_mb=250.0, kv_token_bytes=1000000, kinds=[
            {"name": "a100", "mb": 3000.0, "pace": 4.0, "read_x": 4.0},
            {"name": "l4", "mb": 1500.0, "pace": 16.0, "read_x": 8.0},
            {"name": "t4", "mb": 1300.0, "pace": 16.0, "read_x": 8.0},
            {"name": "h100-slice", "mb": 700.0, "pace": 1.0, "read_x": 1.0},
        ])


def generate(server, connection, path, headers, body):
    rid = headers.get("request-id", "")
    connection.sendall((
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        "Keep-Alive: timeout=20\r\n\r\n" % (rid, server.id, rid)
    ).encode())
    for i in range(1, 4):
        event = ("id: %d\ndata: tok\n\n" % i).encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(0.01)
    connection.sendall(b"0\r\n\r\n")
    return True


def shop(server, connection, path, headers, body):
    time.sleep(0.01)
    return b"x" * 800


def guide(name, prefix):
    return route(name, prefix, "lm", "stream", can_resume=True, target_gap_ms=200, timeout_ms=20000)


def case(box):
    site = Site(FOLDER, controls=3, entries=2)
    box.append(site)
    site.start()
    first = [guide("guide-draft", "/guide/"), route("stock-check", "/stock/", "shop")]
    state = desired(1, first, ["shop"], ["lm"])
    state["services"][1]["engine"] = Part.model()
    site.put(state)
    Server(site, 10, "shop", shop)
    pool = [Part(site, 0, "lm", generate, "a100"), Part(site, 1, "lm", generate, "l4"),
            Part(site, 2, "lm", generate, "t4")]
    for i in range(2):
        site.await_ready(i)
    end = time.monotonic() + 30
    while any(e.layers["to"] == 0 for e in pool):
        if time.monotonic() > end:
            raise NotReady("the model servers got no layers")
        time.sleep(0.1)
    time.sleep(3)  # reports and statements spread
    requesters = [Requester(site, i) for i in range(2)]
    sent = 0

    def serve(prefix, count):
        """Sends requests to both entries in turn; returns how many were served."""
        nonlocal sent
        served = 0
        for _ in range(count):
            sent += 1
            extra = {} if prefix == "/stock/" else {
                "Model": "m", "Token-Count": "50,50", "Prompt-Prefix": "%x:50" % sent}
            status, _, data = requesters[sent % 2].call(
                "g%d" % sent, "%s%d" % (prefix, sent), deadline_ms=20000, extra=extra)
            served += status == 200
            site.record.write("g%d on %s: status %d" % (sent, prefix, status))
            time.sleep(0.1)
        return served

    before = serve("/guide/", REQUESTS)
    if TROUBLE:
        pool.append(Part(site, 3, "lm", generate, "h100-slice"))
        site.record.write("an empty server is added: %s" % pool[3].id)
    time.sleep(5)
    site.record.write("layers: %s" % json.dumps({e.id: e.layers for e in pool}))
    state = dict(state, version=2, routes=first + [guide("shop-reply", "/reply/")])
    site.put(state)
    time.sleep(CONFIG_APPLY_S + 0.2)
    later = serve("/reply/", REQUESTS)
    again = serve("/guide/", REQUESTS)
    stock = serve("/stock/", REQUESTS)
    summary = (
        "served of %d each: guide-draft before %d, after %d; stock-check %d; the route that was added "
        "later %d" % (REQUESTS, before, again, stock, later)
    )
    site.record.write(summary)
    print(summary)
    on_first = (before + again + stock) / (3 * REQUESTS)
    return BROKEN if later / REQUESTS < on_first / 4 else HELD


play(FOLDER, case)
