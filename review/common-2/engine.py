"""A stand-in for a server of the platform: an engine that holds layers, or a plain service.

usage: engine.py FILE, a JSON file with id, service, ip, port, zone, kind (or null), layers (the
number that the model has; 0 for a plain service), first_ms (time to the first event), events,
gap_ms (time between events), slots, controls (IP:PORT of the control VMs), beat_ms and log.

It speaks what PROTOCOL.md says of servers. Its log has a JSON line for each request that arrives,
begins to run, ends or is left by its caller.
"""

import asyncio
import json
import random
import sys
import time

CONFIG = json.load(open(sys.argv[1], encoding="utf-8"))
BORN = int(time.time() * 1000)
LOG = open(CONFIG["log"], "a", encoding="utf-8", buffering=1)


class Server:
    def __init__(self):
        self.layers = None
        self.seq = 0
        self.waiting = 0
        self.running = 0
        self.beat = 0
        self.runs = 0

    def log(self, event, request_id, **more):
        entry = {"t": time.time(), "server": CONFIG["id"], "event": event, "request": request_id}
        entry.update(more)
        LOG.write(json.dumps(entry) + "\n")

    def state(self):
        value = {"stage": "colocated",
                 "models": [{"name": "m0", "version": 1, "adapters": []}]}
        if self.layers:
            value["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return value

    def report(self):
        total = 0
        if self.layers:
            total = 20_000 * (self.layers[1] - self.layers[0])
        value = {"busy": False, "seq": self.seq, "waiting": self.waiting, "running": self.running,
                 "kv_used": min(total, 1_000 * (self.running + self.waiting)), "kv_total": total,
                 "handles": 0, "pace": 1.0, "stalled": []}
        value.update(self.state())
        return value

    async def beats(self):
        while True:
            self.beat += 1
            body = {"service": CONFIG["service"], "address": f"{CONFIG['ip']}:{CONFIG['port']}",
                    "zone": CONFIG["zone"], "version": "v1", "slots": CONFIG["slots"],
                    "state": "ready", "cold_left_ms": 0, "seq": self.beat, "born": BORN}
            if CONFIG["kind"]:
                body["kind"] = CONFIG["kind"]
                body.update(self.state())
            nodes = list(CONFIG["controls"])
            random.shuffle(nodes)
            for node in nodes:
                if await self.send_beat(node, body):
                    break
            await asyncio.sleep(CONFIG["beat_ms"] / 1000)

    async def send_beat(self, node, body):
        ip, port = node.rsplit(":", 1)
        data = json.dumps(body).encode()
        head = (f"POST /-/Instances.Heartbeat/{CONFIG['id']} HTTP/1.1\r\nHost: {node}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                "Connection: close\r\n\r\n").encode()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(head + data)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.startswith(b"HTTP/1.1 2")
        except (OSError, asyncio.TimeoutError):
            return False

    async def serve(self, reader, writer):
        try:
            while await self.one_call(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def one_call(self, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = (await reader.readline()).decode("latin-1").rstrip("\r\n")
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        expected = headers.get("expect-instance")
        if expected is not None and expected != CONFIG["id"]:
            self.answer(writer, 421, {"Not-Run": "1"}, b"", headers)
        elif path == "/-/report":
            self.answer(writer, 200, {"Content-Type": "application/json"},
                        json.dumps(self.report()).encode(), headers)
        elif path == "/-/order":
            self.order(writer, json.loads(body), headers)
        elif path == "/health":
            self.answer(writer, 200, {"Instance-Id": CONFIG["id"]}, b"", headers)
        elif "request-id" not in headers:
            self.answer(writer, 400, {"Not-Run": "1"}, b"", headers)
        else:
            await self.run(reader, writer, method, path, headers, body)
        await writer.drain()
        return True

    def answer(self, writer, status, more, body, headers):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=30"]
        if "request-id" in headers:
            lines.append("Request-Id: " + headers["request-id"])
        lines += [f"{name}: {value}" for name, value in more.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def order(self, writer, body, headers):
        if body.get("op") != "place":
            self.answer(writer, 400, {}, b"", headers)
        elif "expected" in body and body["expected"] != self.seq:
            self.answer(writer, 409, {}, b"", headers)
        elif self.layers == (body["from"], body["to"]):
            self.answer(writer, 200, {}, b"", headers)
        else:
            self.layers = (body["from"], body["to"])
            self.seq += 1
            self.answer(writer, 202, {}, b"", headers)

    def stamp(self):
        self.runs += 1
        return f"{CONFIG['id']}.{self.runs}"

    async def run(self, reader, writer, method, path, headers, body):
        request = headers["request-id"]
        after = int(headers.get("last-event-id", "0") or "0")
        self.log("arrives", request, method=method, path=path, after=after,
                 caller=writer.get_extra_info("peername")[0])
        self.waiting += 1
        try:
            await asyncio.sleep(CONFIG["first_ms"] / 1000)
        finally:
            self.waiting -= 1
        if writer.is_closing() or reader.at_eof():
            self.log("left before it ran", request)
            raise OSError("left")
        self.running += 1
        stamp = self.stamp()
        self.log("runs", request, stamp=stamp, after=after)
        try:
            if CONFIG["events"] == 0:
                self.answer(writer, 200, {"Server-Stamp": stamp},
                            f"answer to {request} {stamp}".encode(), headers)
            else:
                await self.stream(reader, writer, request, stamp, after)
            self.log("ends", request, stamp=stamp)
        finally:
            self.running -= 1

    async def stream(self, reader, writer, request, stamp, after):
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"Weight-Versions: 1\r\nRequest-Id: {request}\r\nServer-Stamp: {stamp}\r\n"
            "Keep-Alive: timeout=30\r\n\r\n").encode())
        for number in range(after + 1, CONFIG["events"] + 1):
            event = f"id: {number}\ndata: {request} piece {number} of run {stamp}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(CONFIG["gap_ms"] / 1000)
            if writer.is_closing() or reader.at_eof():
                self.log("left while it ran", request, stamp=stamp, piece=number)
                raise OSError("left")
        writer.write(b"0\r\n\r\n")


async def main():
    server = Server()
    listener = await asyncio.start_server(server.serve, CONFIG["ip"], CONFIG["port"], backlog=512)
    async with listener:
        await asyncio.gather(listener.serve_forever(), server.beats())


asyncio.run(main())
