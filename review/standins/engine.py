"""Model servers that hold layers by order and answer with streams."""

import asyncio
import json
import random

import deployment as d

LAYERS = 8
LAYER_MB = 100.0
KV_TOKEN_BYTES = 100_000
KIND = {"name": "a100", "mb": 72000.0, "pace": 1.0, "read_x": 1.0}
MODEL = "m0"
SERVICE = "sail-lm"


def engine_service():
    return d.plain_service(SERVICE) | {
        "conn_limit": 968,
        "engine": {
            "slots": 134, "kv_capacity": 69791, "kv_token_bytes": KV_TOKEN_BYTES,
            "link_mbps": 400000.0, "stride": 3,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 1.0, "warm_s": 0.0}],
            "step_ms": 1.02, "per_seq_ms": 0.01, "context_per_k": 0.0137,
            "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0,
            "loads_per_s": 0.0, "loads_at_once": 5, "delays": [],
            "usual": {"prompt": 400, "answer": 60}, "layers": LAYERS, "layer_mb": LAYER_MB,
            "activation_bytes": 65767, "pipe_mbps": 18000.0, "kinds": [KIND],
        },
    }


class Engine(d.Server):
    """Holds the layers that it was ordered to hold. Subclasses answer requests."""

    def __init__(self, site, index, record):
        super().__init__(site, SERVICE, index, 134)
        self.record = record
        self.layers = None
        self.orders = 0

    async def start(self):
        self.layers = None
        self.orders = 0
        await super().start()

    def statement(self):
        more = {"kind": KIND["name"], "stage": "colocated",
                "models": [{"name": MODEL, "version": 1, "adapters": []}]}
        return super().statement() | more | self.held()

    def held(self):
        if self.layers is None:
            return {}
        return {"layers": {"from": self.layers[0], "to": self.layers[1], "version": 1}}

    async def control_call(self, method, path, body, writer):
        status, content = "404 Not Found", {}
        if path == "/-/report":
            total = int((KIND["mb"] - LAYERS * LAYER_MB) * 1e6 / KV_TOKEN_BYTES * LAYERS)
            status, content = "200 OK", {
                "stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "busy": False, "seq": self.orders, "waiting": 0, "running": self.running,
                "kv_used": 0, "kv_total": total, "handles": 0, "pace": 1.0, "stalled": [],
            } | self.held()
        elif path == "/-/order":
            status = self.order(json.loads(body))
        data = json.dumps(content).encode()
        fields = [("Content-Type", "application/json"), ("Content-Length", len(data))]
        writer.write(d.message(f"HTTP/1.1 {status}", fields, data))

    def order(self, order):
        wanted = (order.get("from"), order.get("to"))
        if order.get("op") != "place":
            return "400 Bad Request"
        if self.layers == wanted:
            return "200 OK"
        if order.get("expected", self.orders) != self.orders:
            return "409 Conflict"
        self.orders += 1
        self.layers = wanted
        self.record.write("order carried out", server=self.id, layers=wanted)
        return "202 Accepted"

    def serves_path(self, head):
        path = head.get("hop-count", f"{self.address}=0-{LAYERS}")
        return path == f"{self.address}=0-{LAYERS}" and self.layers == (0, LAYERS)

    def stream_head(self, head, stamp):
        fields = [
            ("Request-Id", head.get("request-id", "")), ("Server-Stamp", stamp),
            ("Content-Type", "text/event-stream"), ("Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"), ("Keep-Alive", f"timeout={d.KEEP_ALIVE_S}"),
        ]
        return d.message("HTTP/1.1 200 OK", fields)

    async def stream(self, head, writer, first, last, gap_s):
        """Sends the events from first to last, and the end of the body."""
        stamp = self.stamp()
        self.running += 1
        try:
            await asyncio.sleep(random.uniform(0.01, 0.03))
            writer.write(self.stream_head(head, stamp))
            for number in range(first, last + 1):
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                if number < last:
                    await asyncio.sleep(gap_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
