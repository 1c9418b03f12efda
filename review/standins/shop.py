"""A shop behind the router: servers without layers, and requesters that order and look up."""

import asyncio
import random

import deployment as d

HOST = "shop.example"
SERVICE = "shop-app"
FAILURES = {"kit-order": 0.004, "stock-check": 0.14}  # a server's own 500, as on the sheet


def kind_of(head):
    return "kit-order" if "/pay/" in head.start else "stock-check"


class ShopServer(d.Server):
    """Runs `slots` requests at once and queues `queue` more; refuses the others as not run."""

    def __init__(self, site, index, runs, record, faulty, slots=6, queue=24, work_s=(0.005, 0.02)):
        super().__init__(site, SERVICE, index, slots)
        self.runs = runs
        self.record = record
        self.faulty = faulty
        self.places = slots + queue
        self.free = asyncio.Semaphore(slots)
        self.work_s = work_s

    async def handle(self, head, body, writer):
        request = head.get("request-id")
        if self.running >= self.places:
            self.record.write("refused as full", server=self.id, request=request)
            await self.send(head, self.refusal(head, "503 Service Unavailable"), writer, False)
            return
        self.running += 1
        try:
            async with self.free:
                await self.run(head, request, writer)
        finally:
            self.running -= 1

    async def run(self, head, request, writer):
        failed = random.random() < FAILURES[kind_of(head)]
        status = "500 Internal Server Error" if failed else "200 OK"
        stamp = self.stamp()
        content = f"{'failure' if failed else 'answer'} of {request}".encode()
        run = {"server": self.id, "status": int(status[:3]), "stamp": stamp, "body": content}
        self.runs.setdefault(request, []).append(run)
        self.record.write("runs", server=self.id, request=request, status=status[:3])
        await asyncio.sleep(random.uniform(*self.work_s))
        await self.send(head, self.answer(head, status, stamp, content), writer, True)

    async def send(self, head, data, writer, ran):
        """Subclasses spoil an answer here."""
        writer.write(data)


class Shop:
    """A deployment with a shop, its load and what each requester got."""

    def __init__(self, record, servers, timeout_ms=1500, deadline_ms=1500, servers_count=3,
                 entries=2):
        self.record = record
        self.site = d.Deployment(record, entries=entries)
        self.runs = {}
        self.sent = {}
        self.answers = {}
        self.timeout_ms = timeout_ms
        self.deadline_ms = deadline_ms
        self.servers = [servers(self, i) for i in range(servers_count)]

    async def play(self, seconds, requesters, pause_s, orders=0.5):
        """Starts everything, sends requests for some seconds and ends all processes."""
        try:
            for server in self.servers:
                await server.start()
            await self.site.start_all()
            more = {"timeout_ms": self.timeout_ms}
            routes = [
                d.route("kit-order", HOST, "/pay/", "non_idempotent", SERVICE, **more),
                d.route("stock-check", HOST, "/stock/", "idempotent", SERVICE, max_attempts=2,
                        **more),
            ]
            state = d.desired_state(1, routes, [d.plain_service(SERVICE)])
            await self.site.put(state)
            await self.site.await_ready()
            await asyncio.sleep(3.5)  # contact_window_ms: from here on all processes are in touch
            self.record.write("load begins")
            until = asyncio.get_running_loop().time() + seconds
            await asyncio.gather(*(self.requester(n, until, pause_s, orders)
                                   for n in range(requesters)))
            await asyncio.sleep(1.0)
        finally:
            for server in self.servers:
                if server.beats:
                    await server.crash()
            await self.site.stop()

    async def requester(self, number, until, pause_s, orders):
        requester = d.Requester(self.site.front(number % len(self.site.entries)))
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            kind = "kit-order" if random.random() < orders else "stock-check"
            method, path = ("POST", "/pay/x") if kind == "kit-order" else ("GET", "/stock/x")
            request = f"{random.getrandbits(64):016x}"
            headers = [("Request-Id", request), ("Deadline-Ms", self.deadline_ms)]
            started = loop.time()
            self.sent[request] = kind
            result = await requester.send(
                method, path, HOST, headers, timeout=self.deadline_ms / 1000)
            waited = loop.time() - started
            if result is None:
                self.record.write("no answer", request=request, kind=kind, waited=f"{waited:.2f}")
            else:
                head, body = result
                self.answers[request] = (head, body, waited)
                self.record.write("answered", request=request, kind=kind, status=head.status)
            await asyncio.sleep(random.uniform(*pause_s))
        requester.close()

    def finish(self, broken, **more):
        statuses = {}
        for head, _, _ in self.answers.values():
            statuses[head.status] = statuses.get(head.status, 0) + 1
        result = {"sent": len(self.sent), "statuses": statuses,
                  "unanswered": len(self.sent) - len(self.answers), "broken": len(broken)} | more
        for request in broken:
            runs = [(run["server"], run["status"]) for run in self.runs.get(request, [])]
            answer = self.answers.get(request)
            got = (answer[0].status, answer[1]) if answer else "none"
            self.record.write("BROKEN", request=request, kind=self.sent[request], runs=runs, got=got)
        self.record.write("end", **result)
        print(result)
        return bool(broken)
