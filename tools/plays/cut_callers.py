"""Callers that keep connections and note how each whole request ended."""

import asyncio
import time

import deployment as d
import engine as e

HOST = "shop.example"
STREAM_HOST = "draft.example"
SLACK_S = 0.5
DEADLINE_S = {"order": 1.5, "lookup": 1.5, "late": 1.5, "keyed": 1.5, "other": 1.5, "stream": 12.0}
PATHS = {"order": ("POST", "/pay/x"), "lookup": ("GET", "/stock/x"), "late": ("GET", "/late/x"),
         "keyed": ("GET", "/keyed/x"), "other": ("GET", "/other/x"), "stream": ("POST", "/s/x")}
WEIGHTS = {"order": 30, "lookup": 25, "late": 8, "keyed": 10, "other": 10, "stream": 17}


class Request:
    """One request, and what became of it."""

    def __init__(self, kind, request, vm, connection, after_answers):
        self.kind = kind
        self.id = request
        self.vm = vm
        self.connection = connection
        self.after_answers = after_answers
        self.behind_close = False
        self.sent = self.ended = 0.0
        self.sent_utc = ""
        self.end = "unsent"
        self.status = None
        self.own = False
        self.why = ""

    @property
    def limit(self):
        return self.sent + DEADLINE_S[self.kind] + SLACK_S


class Caller:
    def __init__(self, play, number):
        self.play = play
        self.number = number
        self.vm = number % play.options.entries
        self.reader = self.writer = None
        self.connections = 0
        self.answers = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self):
        """Uses the open connection, or a new one; a VM that takes none is left for another."""
        if self.writer is not None and (self.reader.at_eof() or self.writer.is_closing()):
            self.close()
        while self.writer is None:
            try:
                ip, port = self.play.site.front(self.vm).rsplit(":", 1)
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1.0)
                self.connections += 1
                self.answers = 0
            except (OSError, asyncio.TimeoutError):
                self.play.connects_failed += 1
                self.vm = self.play.random.randrange(self.play.options.entries)
                await asyncio.sleep(0.05)

    def message(self, request):
        method, path = PATHS[request.kind]
        host, body = HOST, b""
        fields = [("Request-Id", request.id),
                  ("Deadline-Ms", int(1000 * DEADLINE_S[request.kind]))]
        if request.kind == "stream":
            host = STREAM_HOST
            prompt = f"{self.play.random.getrandbits(32):08x}:400"
            events = self.play.random.randint(2, 40)
            fields += [("Model", e.MODEL), ("Prompt-Prefix", prompt),
                       ("Token-Count", f"400,{events}")]
        elif request.kind == "order":
            body = b"x" * self.play.random.choice([0, 10, 2000, 20000])
        elif request.kind == "keyed":
            fields.append(("Credential", "key-1"))
        fields = [("Host", host), ("Content-Length", len(body))] + fields
        return d.message(f"{method} {path} HTTP/1.1", fields, body)

    async def call(self, kinds):
        """Sends requests at once and reads their answers in order."""
        await self.connect()
        requests = []
        for kind in kinds:
            name = f"{self.play.random.getrandbits(64):016x}"
            one = Request(kind, name, self.vm, f"{self.number}.{self.connections}", self.answers)
            requests.append(one)
        data = b"".join(self.message(one) for one in requests)
        for one in requests:
            one.sent = time.monotonic()
            one.sent_utc = time.strftime("%H:%M:%S", time.gmtime()) + f"{time.time() % 1:.3f}"[1:]
        self.writer.write(data)
        self.play.requests += requests
        closing = False
        for one in requests:
            one.behind_close = closing
            if self.reader is None:
                one.end, one.ended, one.why = "lost", time.monotonic(), "closed before"
                continue
            closing = await self.read(one)

    async def read(self, one):
        """Reads one answer; returns whether the VM announced the end of the connection."""
        rest = one.limit + 2.5 - time.monotonic()
        try:
            closing = await asyncio.wait_for(self.answer(one), max(rest, 0.01))
        except asyncio.TimeoutError:
            one.end = "none" if one.status is None else "unfinished"
            closing = False
        except (OSError, EOFError, ValueError) as error:
            one.end = "lost" if one.status is None else "broken"
            one.why = repr(error)[:80]
            closing = False
        one.ended = time.monotonic()
        if one.end != "answered":
            self.close()
        elif closing:
            self.close()
        if one.end == "answered" and one.ended > one.limit:
            one.end = "late"
        return closing

    async def answer(self, one):
        head = await d.read_head(self.reader)
        one.status = head.status
        one.own = head.get("server-stamp") is None
        if "chunked" in head.get("transfer-encoding", "").lower():
            while await d.read_chunk(self.reader):
                pass
        else:
            await d.read_body(self.reader, head)
        one.end = "answered"
        self.answers += 1
        return head.get("connection", "").lower() == "close"

    async def loop(self, until):
        rng = self.play.random
        while time.monotonic() < until:
            count = rng.randint(2, 4) if rng.random() < 0.08 else 1
            kinds = rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
            if count > 1:
                kinds = ["lookup" if kind == "stream" else kind for kind in kinds]
            await self.call(kinds)
            await asyncio.sleep(rng.uniform(1.0, 4.0) if rng.random() < 0.1
                                else rng.uniform(0.02, 0.4))
        self.close()
