"""Callers that keep connections and check every answer against what the targets gave."""

import asyncio

import deployment as d
import engine as e

PATIENCE_S = 2.0
LEAVES = 0.03  # share of the streams that a caller abandons
HEADS = 0.2  # share of the lookups with method HEAD
CHUNKED = 0.4  # share of the streams whose body is sent in chunks
QUERIES = 0.4  # share of the streams with a query


class Left(Exception):
    """The caller closed its connection within a stream."""


class Caller:
    def __init__(self, play, number):
        self.play = play
        self.address = play.site.front(number % play.options.entries)
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    def request(self, kind, request):
        names = self.play.names
        fields = [("Request-Id", request)]
        if kind in names["streams"]:
            prompt = f"{self.play.random.getrandbits(32):08x}:400"
            more = [("Deadline-Ms", 20000), ("Model", e.MODEL), ("Prompt-Prefix", prompt),
                    ("Token-Count", f"400,{self.play.options.events * 3}")]
            path = "/s/x?a=7&b=x-y" if self.play.random.random() < QUERIES else "/s/x"
            return "POST", f"{kind}.example", path, fields + more
        fields.append(("Deadline-Ms", names["deadline_ms"]))
        if kind == names["order"]:
            return "POST", "shop.example", "/pay/x", fields
        method = "HEAD" if self.play.random.random() < HEADS else "GET"
        return method, "shop.example", "/stock/x", fields

    async def check_idle(self):
        """Counts bytes on a connection without a request; an ended one is replaced."""
        if self.writer is None:
            return
        try:
            data = await asyncio.wait_for(self.reader.read(100), 0.001)
        except asyncio.TimeoutError:
            return
        except OSError:
            data = b""
        if data:
            self.play.cases["none", "bytes without a request"] += 1
        self.close()

    async def call(self, kind):
        """Sends one request and checks the answer; returns a word for the result."""
        play = self.play
        await self.check_idle()
        request = f"{play.random.getrandbits(64):016x}"
        stream = kind in play.names["streams"]
        method, host, path, fields = self.request(kind, request)
        data = self.message(method, host, path, fields)
        play.sent["stream" if stream else method] += 1
        limit = 21.0 if stream else play.names["deadline_ms"] / 1000 + 0.5
        leaves = stream and play.spoiling and play.random.random() < LEAVES
        result = await self.try_exchange(request, method, data, leaves, limit)
        play.results[result] += 1
        if result != "200":
            play.record.write("result", request=request, kind=kind, result=result)
        return result

    async def try_exchange(self, request, method, data, leaves, limit):
        """Sends a request and checks its answer; closes the connection unless that is complete."""
        try:
            result = await asyncio.wait_for(
                self.exchange(request, method, data, leaves), limit)
        except Left:
            result = "caller left"
        except asyncio.TimeoutError:
            result = "unanswered: time is up"
        except (OSError, EOFError) as error:
            result = f"unanswered: {type(error).__name__}"
        except ValueError as error:
            self.case(request, "no answer in the protocol", repr(error))
            result = "no answer in the protocol"
        if not result.isdigit():
            self.close()
        return result

    def message(self, method, host, path, fields):
        """Returns the bytes of a request; some streams have a body, with a length or in chunks."""
        start = f"{method} {path} HTTP/1.1"
        body = b""
        if method == "POST" and path.startswith("/s/"):
            body = f"prompt of {fields[0][1]}".encode() * 8
        self.play.asked[fields[0][1]] = (start, body)
        if body and self.play.random.random() < CHUNKED:
            chunks = b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n"
                              for part in (body[:50], body[50:])) + b"0\r\n\r\n"
            return d.message(start, [("Host", host), ("Transfer-Encoding", "chunked")] + fields,
                             chunks)
        return d.message(start, [("Host", host), ("Content-Length", len(body))] + fields, body)

    async def exchange(self, request, method, data, leaves):
        if self.writer is None:
            ip, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(data)
        head = await self.patiently(d.read_head(self.reader))
        if not head.start.startswith("HTTP/1.1 "):
            raise ValueError(head.start)
        ended = "complete"
        body = b""
        try:
            if method == "HEAD":
                pass
            elif "chunked" in head.get("transfer-encoding", "").lower():
                while chunk := await self.patiently(d.read_chunk(self.reader)):
                    body += chunk
                    if leaves:
                        raise Left()
            else:
                body = await d.read_body(self.reader, head)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            ended = f"ended early: {type(error).__name__}"
        self.check(request, method, head, body, ended == "complete")
        if head.get("connection", "").lower() == "close" or ended != "complete":
            self.close()
        return str(head.status) if ended == "complete" else f"{head.status} {ended}"

    async def patiently(self, reading):
        return await asyncio.wait_for(reading, PATIENCE_S)

    def check(self, request, method, head, body, complete):
        """Rule MIXED, for a success or for a failure that bears a target's stamp."""
        runs = self.play.runs.get(request, [])
        stamp = head.get("server-stamp")
        own = [run for run in runs if run["stamp"] == stamp]
        success = head.status // 100 == 2
        if head.get("request-id", request) != request:
            self.case(request, "answer of another request", head.start)
        elif stamp is not None and not own:
            self.case(request, "stamp of another run", head.start)
        elif success and stamp is None:
            self.case(request, "success without a stamp", head.start)
        elif own and own[0]["status"] != head.status:
            hidden = success and own[0]["status"] >= 400
            what = "success where the target failed" if hidden else "another status"
            self.case(request, what, head.start)
        elif own and method != "HEAD" and not self.body_matches(request, own[0], body, complete):
            self.case(request, "another body", body[:200])
        elif success and own and own[0]["kind"] == "stream" and complete and any(
                run["status"] == 500 for run in runs) and not body:
            self.case(request, "empty success beside a failure", head.start)

    def body_matches(self, request, run, body, complete):
        if run["kind"] != "stream" or run["status"] != 200:
            return body == run["body"] if complete else run["body"].startswith(body)
        events = [f"id: {n}\ndata: {request} t{n}\n\n"
                  for n in range(1, self.play.options.events + 1)]
        if run["shape"] == "instream-event":
            # The target itself sent one event twice: passing on both or one is right.
            body = self.once_each(body)
        whole = "".join(events).encode()
        return body == whole if complete else whole.startswith(body)

    @staticmethod
    def once_each(body):
        events = body.split(b"\n\n")
        kept = [event for i, event in enumerate(events) if i == 0 or event != events[i - 1]]
        return b"\n\n".join(kept)

    def case(self, request, what, seen):
        runs = self.play.runs.get(request, [])
        shapes = [run["shape"] for run in runs if run["shape"] != "none"]
        self.play.cases[shapes[-1] if shapes else "none", what] += 1
        self.play.record.write(
            "BROKEN", request=request, what=what, seen=seen,
            runs=[(run["server"], run["status"], run["shape"]) for run in runs])
