"""Targets that note which requests reached them, fall silent and go on, and name limits."""

import asyncio
import json
import time

import deployment as d
import engine as e

SLOTS = 24


class Noting:
    """What both kinds of target do besides answering."""

    def setup(self, play):
        self.play = play
        self.silent_until = 0.0
        self.limit = 0.0

    async def awake(self):
        while (rest := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(rest)

    def note(self, head):
        run = {"target": self.id, "at": time.monotonic()}
        self.play.runs.setdefault(head.get("request-id"), []).append(run)
        return run

    def stated(self):
        return [("Server-Limit", f"{self.limit:.2f}")] if self.limit else []


class Shop(Noting, d.Server):
    def __init__(self, play, service, index):
        super().__init__(play.site, service, index, SLOTS)
        self.setup(play)

    async def handle(self, head, body, writer):
        await self.awake()
        self.note(head)
        await asyncio.sleep(self.play.random.uniform(0.005, 0.06))
        await self.awake()
        content = f"answer of {head.get('request-id')}".encode()
        fields = self.stated() + [
            ("Request-Id", head.get("request-id", "")), ("Server-Stamp", self.stamp()),
            ("Content-Type", "application/octet-stream"), ("Content-Length", len(content)),
            ("Keep-Alive", f"timeout={d.KEEP_ALIVE_S}")]
        writer.write(d.message("HTTP/1.1 200 OK", fields, content))


class Engine(Noting, e.Engine):
    def __init__(self, play, index):
        super().__init__(play.site, index, play.record)
        self.setup(play)

    async def control_call(self, method, path, body, writer):
        await self.awake()
        await super().control_call(method, path, body, writer)

    def serves_path(self, head):
        own = head.get("hop-count", f"{self.address}=0-{e.LAYERS}").split(",")[0]
        return self.layers is not None and own == f"{self.address}={self.layers[0]}-{self.layers[1]}"

    async def handle(self, head, body, writer):
        await self.awake()
        if not self.serves_path(head):
            writer.write(self.refusal(head, "421 Misdirected Request"))
            return
        self.note(head)
        first = int(head.get("last-event-id", "0")) + 1
        last = int(head.get("token-count", "1,1").split(",")[1])
        self.running += 1
        try:
            await asyncio.sleep(self.play.random.uniform(0.01, 0.03))
            writer.write(self.stream_head(head, self.stamp()))
            for number in range(first, last + 1):
                await self.awake()
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await asyncio.sleep(self.play.random.uniform(0.05, 0.15))
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
