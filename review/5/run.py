"""A model server crashes; a stream that goes on elsewhere gets another server's own failure."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import engine  # noqa: E402

ENGINES = 8  # one of them crashes, one fails part of its requests: a share of 0.125 each
FAILS = 0.45  # share of the requests that the grey server fails
CRASH_EVERY_S, DOWN_S = 5.0, 2.5
GREY_S = 1.7  # the grey server fails requests for this long, from 0.2 s before a crash on
SECONDS = 85
REQUESTERS = 280
EVENTS, GAP_S = 12, 0.1
TIMEOUT_MS = 2000
DEADLINE_MS = 20000
PATIENCE_S = 2.0  # requesters abandon a stream after this gap: 4 times the objective of 500 ms
HOST = "sail.example"


class Engine(engine.Engine):
    def __init__(self, site, index, record):
        super().__init__(site, index, record)
        self.grey = False

    async def handle(self, head, body, writer):
        request = head.get("request-id")
        if not self.serves_path(head):
            self.record.write("not its layers", server=self.id, path=head.get("hop-count"))
            writer.write(self.refusal(head, "421 Misdirected Request"))
            return
        after = int(head.get("last-event-id", "0"))
        if self.grey and random.random() < FAILS:
            self.record.write("fails", server=self.id, request=request, after=after)
            writer.write(self.answer(head, "500 Internal Server Error", self.stamp(), b"failed"))
            return
        self.record.write("runs", server=self.id, request=request, after=after)
        await self.stream(head, writer, after + 1, EVENTS, GAP_S)


class Stream:
    """One request: what its requester has received, and when its last part came."""

    def __init__(self):
        self.started = self.last = asyncio.get_running_loop().time()
        self.status = None
        self.events = []
        self.ended_at = None
        self.end = "open"

    async def read(self, address, request):
        loop = asyncio.get_running_loop()
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            fields = [
                ("Host", HOST), ("Content-Length", 0), ("Request-Id", request),
                ("Model", engine.MODEL), ("Token-Count", f"400,{EVENTS * 3}"),
                ("Prompt-Prefix", f"{random.getrandbits(32):08x}:400"),
                ("Deadline-Ms", DEADLINE_MS),
            ]
            writer.write(d.message("POST /guide/x HTTP/1.1", fields))
            head = await asyncio.wait_for(d.read_head(reader), PATIENCE_S)
            self.status, self.last = head.status, loop.time()
            if "chunked" not in head.get("transfer-encoding", ""):
                await d.read_body(reader, head)
                self.end = "answered"
                return
            while chunk := await asyncio.wait_for(d.read_chunk(reader), PATIENCE_S):
                self.last = loop.time()
                self.events += [line[4:] for line in chunk.decode().split("\n")
                                if line.startswith("id: ")]
            self.end = "complete"
        except asyncio.TimeoutError:
            self.end = "requester left after a gap"
        except (OSError, EOFError):
            self.end = "connection ended"
        finally:
            self.ended_at = loop.time()
            writer.close()


async def case(record, trouble):
    site = d.Deployment(record)
    engines = [Engine(site, i, record) for i in range(ENGINES)]
    streams = []

    async def requester(number, until):
        await asyncio.sleep(random.uniform(0, 2))
        while asyncio.get_running_loop().time() < until:
            stream = Stream()
            streams.append(stream)
            request = f"{random.getrandbits(64):016x}"
            await stream.read(site.front(number % len(site.entries)), request)
            record.write("ended", request=request, end=stream.end, status=stream.status,
                         events=len(stream.events), after=f"{stream.ended_at - stream.started:.2f}",
                         gap=f"{stream.ended_at - stream.last:.2f}")
            await asyncio.sleep(random.uniform(0.0, 0.3))

    async def crashes(until):
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(CRASH_EVERY_S - DOWN_S - 0.2)
            engines[1].grey = True
            await asyncio.sleep(0.2)
            record.write("crash", server=engines[0].id)
            await engines[0].crash()
            await asyncio.sleep(GREY_S - 0.2)
            engines[1].grey = False
            await asyncio.sleep(DOWN_S - GREY_S + 0.2)
            await engines[0].start()

    try:
        for server in engines:
            await server.start()
        await site.start_all()
        guide = d.route(
            "guide-draft", HOST, "/guide/", "stream", engine.SERVICE, timeout_ms=TIMEOUT_MS,
            target_latency_ms=500, max_attempts=2, sticky=True, can_resume=True, target_gap_ms=200)
        await site.put(d.desired_state(1, [guide], [engine.engine_service()]))
        await site.await_ready()
        while not all(server.layers for server in engines):
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        record.write("load begins")
        until = asyncio.get_running_loop().time() + SECONDS
        work = [requester(n, until) for n in range(REQUESTERS)]
        await asyncio.gather(*work, *([crashes(until - 8)] if trouble else []))
    finally:
        for server in engines:
            if server.beats:
                await server.crash()
        await site.stop()
    timeout = TIMEOUT_MS / 1000
    late = [s for s in streams if s.ended_at - s.started > timeout]
    silent = [s for s in late if s.ended_at - s.started > timeout + 0.5]
    ends = {}
    for stream in streams:
        ends[stream.end] = ends.get(stream.end, 0) + 1
    result = {"streams": len(streams), "ends": ends, "open_at_timeout": len(late),
              "open_half_a_second_later": len(silent)}
    record.write("end", **result)
    print(result)
    return len(silent) >= 8 and len(silent) * 4 > len(late)


if __name__ == "__main__":
    d.main(__file__, case)
