"""Stand-ins for targets that send further answers on kept connections."""

import asyncio
import json

import deployment as d
import engine as e
import extra_shapes

SHOP_FAILURES = {"order": 0.004, "lookup": 0.14}


class Spoiling:
    """Sends answers, and pieces of further ones; notes per connection which piece came last."""

    def setup(self, play, faulty):
        self.play = play
        self.faulty = faulty
        self.pending = {}
        self.tainted = {}

    def shape(self):
        play = self.play
        if not (self.faulty and play.spoiling and play.random.random() < play.options.share):
            return None
        if play.random.random() < play.options.broken_off:
            return play.random.choice(extra_shapes.BROKEN_OFF)
        return play.random.choice(play.shapes)

    def fields(self, head, stamp, more):
        own = [("Request-Id", head.get("request-id", "")), ("Server-Stamp", stamp)]
        other = [("Date", "Sat, 05 Dec 2026 09:00:00 GMT")] + more
        other.append(("Keep-Alive", f"timeout={d.KEEP_ALIVE_S}"))
        return own + other if self.play.options.ids_first else other + own

    def before(self, head, writer):
        """Sends the pieces that wait for this answer; returns the shape of the last piece."""
        request = head.get("request-id")
        for name, answer in self.pending.pop(writer, []):
            writer.write(extra_shapes.piece(name, answer, request))
        return self.tainted.pop(writer, "none")

    def after(self, shape, answer, writer):
        if shape is None or shape in extra_shapes.IN_STREAM:
            return
        self.play.pieces[shape] += 1
        self.tainted[writer] = shape
        when = shape.rsplit("-", 1)[1]
        if when == "next":
            self.pending[writer] = [(shape, answer)]
        elif when == "once":
            writer.write(extra_shapes.piece(shape, answer, None))
        else:
            asyncio.get_running_loop().call_later(
                self.play.random.uniform(0.0, extra_shapes.LATE_S),
                self.late, shape, answer, writer)

    def late(self, shape, answer, writer):
        if not writer.transport.is_closing():
            self.tainted[writer] = shape
            writer.write(extra_shapes.piece(shape, answer, None))

    def break_off(self, shape, answer, writer):
        """Sends part of an answer and ends the connection."""
        self.play.pieces[shape] += 1
        writer.write(answer[: self.play.random.randint(1, len(answer) - 1)])
        if shape == "cut-reset":
            asyncio.get_running_loop().call_later(0.002, d.reset, writer)
        else:
            writer.close()

    def note(self, head, kind, status, stamp, body, shape, complete=True):
        run = {"server": self.id, "kind": kind, "status": status, "stamp": stamp, "body": body,
               "shape": shape, "complete": complete}
        request = head.get("request-id")
        self.play.runs[request].append(run)
        if self.play.asked.get(request, head.asked) != head.asked:
            self.play.cases[shape, "request changed on the way"] += 1
            self.play.record.write("BROKEN", request=request, ran=head.asked)
        return run

    async def plain_answer(self, head, kind, failed, writer):
        before = self.before(head, writer)
        status = "500 Internal Server Error" if failed else "200 OK"
        stamp = self.stamp()
        body = f"{'failure' if failed else 'answer'} of {head.get('request-id')}".encode()
        self.note(head, kind, int(status[:3]), stamp, body, before)
        fields = self.fields(head, stamp, [("Content-Type", "application/octet-stream"),
                                           ("Content-Length", len(body))])
        answer = d.message(f"HTTP/1.1 {status}", fields, body)
        shape = self.shape()
        if shape in extra_shapes.BROKEN_OFF:
            self.break_off(shape, answer, writer)
            return
        writer.write(d.message(f"HTTP/1.1 {status}", fields) if head.start.startswith("HEAD ")
                     else answer)
        self.after(shape, answer, writer)

    async def serve(self, reader, writer):
        try:
            await super().serve(reader, writer)
        finally:
            self.pending.pop(writer, None)
            self.tainted.pop(writer, None)


class Shop(Spoiling, d.Server):
    def __init__(self, play, index, faulty):
        super().__init__(play.site, play.names["shop"], index, 6)
        self.setup(play, faulty)
        self.free = asyncio.Semaphore(6)

    async def handle(self, head, body, writer):
        head.asked = (head.start, body)
        if self.running >= 30:
            self.before(head, writer)
            writer.write(self.refusal(head, "503 Service Unavailable"))
            return
        self.running += 1
        try:
            async with self.free:
                await asyncio.sleep(self.play.random.uniform(*self.play.names["work_s"]))
                kind = "order" if "/pay/" in head.start else "lookup"
                failed = self.play.random.random() < SHOP_FAILURES[kind]
                await self.plain_answer(head, kind, failed, writer)
        finally:
            self.running -= 1


class Engine(Spoiling, e.Engine):
    def __init__(self, play, index, kind):
        super().__init__(play.site, index, play.record)
        self.service = play.names["engine"]
        self.kind = kind
        self.grey = False
        self.setup(play, False)

    def statement(self):
        return super().statement() | {"kind": self.kind["name"], "slots": 192}

    async def control_call(self, method, path, body, writer):
        if path != "/-/report":
            await super().control_call(method, path, body, writer)
            return
        held = 0 if self.layers is None else self.layers[1] - self.layers[0]
        room = self.kind["mb"] - held * e.LAYER_MB
        data = json.dumps({
            "stage": "colocated", "models": [{"name": e.MODEL, "version": 1, "adapters": []}],
            "busy": False, "seq": self.orders, "waiting": 0, "running": self.running,
            "kv_used": 0, "kv_total": int(room * 1e6 / e.KV_TOKEN_BYTES * e.LAYERS), "handles": 0,
            "pace": 1.0, "stalled": []} | self.held()).encode()
        writer.write(d.message("HTTP/1.1 200 OK", [("Content-Type", "application/json"),
                                                   ("Content-Length", len(data))], data))

    def serves_path(self, head):
        whole = f"{self.address}=0-{e.LAYERS}"
        own = head.get("hop-count", whole).split(",")[0]
        if self.layers is None:
            return False
        return own == f"{self.address}={self.layers[0]}-{self.layers[1]}"

    async def handle(self, head, body, writer):
        head.asked = (head.start, body)
        if not self.serves_path(head):
            self.before(head, writer)
            writer.write(self.refusal(head, "421 Misdirected Request"))
            return
        self.running += 1
        try:
            await asyncio.sleep(self.play.random.uniform(0.01, 0.03))
            options = self.play.options
            if self.grey and self.play.random.random() < options.fails:
                await self.plain_answer(head, "stream", True, writer)
            else:
                await self.answer_stream(head, writer)
        finally:
            self.running -= 1

    async def answer_stream(self, head, writer):
        before = self.before(head, writer)
        stamp = self.stamp()
        run = self.note(head, "stream", 200, stamp, b"", before, False)
        start = d.message("HTTP/1.1 200 OK", self.fields(head, stamp, [
            ("Content-Type", "text/event-stream"), ("Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked")]))
        events = self.events(head)
        shape = self.shape()
        answer = start + b"".join(events) + b"0\r\n\r\n"
        if shape in extra_shapes.BROKEN_OFF:
            self.break_off(shape, answer, writer)
            return
        spoilt_at = self.play.random.randrange(len(events)) if events else -1
        writer.write(start)
        for number, event in enumerate(events):
            if writer.transport.is_closing():
                return
            if number == spoilt_at and shape in extra_shapes.IN_STREAM:
                run["shape"] = shape
                self.inside(shape, start, event, writer)
            writer.write(event)
            await asyncio.sleep(self.play.random.uniform(0.005, 0.02))
        run["complete"] = True
        writer.write(b"0\r\n\r\n")
        self.after(shape, answer, writer)

    def inside(self, shape, start, event, writer):
        self.play.pieces[shape] += 1
        cut = extra_shapes.in_head(start)
        pieces = {"instream-head": start, "instream-event": event, "instream-headcut": cut}
        writer.write(pieces[shape])

    def events(self, head):
        first = int(head.get("last-event-id", "0")) + 1
        request = head.get("request-id")
        found = []
        for number in range(first, self.play.options.events + 1):
            event = f"id: {number}\ndata: {request} t{number}\n\n".encode()
            found.append(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        return found
