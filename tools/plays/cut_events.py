"""Disturbances of versions_beside_cuts.py: series of events that overlap, drawn by seed."""

import asyncio
import random
import signal
import time

import deployment as d
import engine as e
from cut_callers import HOST, STREAM_HOST

PLANNED = ["version", "large version", "reload", "stop"]
UNPLANNED = ["freeze", "kill"]
# What becomes of new connections, and of those that are open (cut_links.MODES).
CUTS = {"refused": ("refuse", "reset"), "refused-live": ("refuse", "live"),
        "hang": ("hang", "hang"), "hang-live": ("hang", "live"), "reset-hang": ("hang", "reset")}
KINDS = ["cuts", "versions", "reloads", "stops", "freezes", "kills", "silences", "limits"]


class Happening:
    """One event: what, at which VM (None: all), from when until when."""

    def __init__(self, what, vm=None):
        self.what = what
        self.vm = vm
        self.begin = time.monotonic()
        self.end = float("inf")

    def over(self):
        self.end = time.monotonic()

    def touches(self, since, until):
        return self.begin <= until and self.end >= since

    def __str__(self):
        return self.what if self.vm is None else f"{self.what} of entry-{self.vm}"


class Events:
    def __init__(self, play):
        self.play = play
        self.site = play.site
        self.past = []
        self.stopping = set()
        self.version = 1
        self.idle_ms = 15000
        self.many = False
        self.dropped = set()
        self.tasks = set()

    def begin(self, what, vm=None):
        happening = Happening(what, vm)
        self.past.append(happening)
        self.play.record.write("begins", what=what, vm=vm)
        return happening

    def document(self):
        """The desired state; idle limit, further routes, a key and a service come and go."""
        plain = {"timeout_ms": 1500}
        routes = [
            d.route("order", HOST, "/pay/", "non_idempotent", "shop-app", **plain),
            d.route("lookup", HOST, "/stock/", "idempotent", "shop-app", max_attempts=2, **plain),
            d.route("draft", STREAM_HOST, "/s/", "stream", e.SERVICE, timeout_ms=20000,
                    max_attempts=3, can_resume=True),
            d.route("keyed", HOST, "/keyed/", "idempotent", "shop-app", max_attempts=2,
                    public=False, **plain)]
        services = [e.engine_service(), d.plain_service("shop-app")]
        if "route" not in self.dropped:
            routes.append(d.route("late", HOST, "/late/", "idempotent", "shop-app",
                                  max_attempts=2, **plain))
        if "service" not in self.dropped:
            routes.append(d.route("other", HOST, "/other/", "idempotent", "shop-other",
                                  max_attempts=2, **plain))
            services.append(d.plain_service("shop-other"))
        if self.many:
            routes += [d.route(f"more-{n}", f"more-{n}.example", f"/{n}/", "idempotent",
                               "shop-app", **plain) for n in range(400)]
        state = d.desired_state(self.version, routes, services)
        state["limits"]["idle_timeout_ms"] = self.idle_ms
        keys = [] if "key" in self.dropped else ["key-1"]
        state["tenants"] = [{"name": "t-1", "api_keys": keys, "priority": 2}]
        return state

    async def versions(self, rng):
        while True:
            await asyncio.sleep(rng.choice([0.1, 0.3, 0.5, 1.0, 2.0]))
            change = rng.choice(["idle", "idle", "many", "route", "key", "service"])
            if change == "idle":
                self.idle_ms = rng.choice([1000, 1500, 3000, 6000, 15000])
            elif change == "many":
                self.many = not self.many
            else:
                self.dropped ^= {change}
            self.version += 1
            happening = self.begin("large version" if self.many else "version")
            await self.site.put(self.document())
            await asyncio.sleep(0.05)
            happening.over()

    async def cuts(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            count = rng.randint(1, self.play.options.entries - 1)
            numbers = rng.sample(range(self.play.options.entries), count)
            mode = rng.choice(list(CUTS))
            happenings = [self.begin(f"cut {mode}", number) for number in numbers]
            self.play.cuts.begin([self.site.entries[n]["ip"] for n in numbers], *CUTS[mode])
            await asyncio.sleep(rng.uniform(2.0, 8.0))
            self.play.cuts.end()
            for happening in happenings:
                happening.over()

    def pick(self, rng, cut):
        """A running VM that is cut off, or one that is not; any if there is none."""
        free = [n for n in range(self.play.options.entries) if n not in self.stopping]
        wanted = [n for n in free
                  if (self.site.entries[n]["ip"] in self.play.cuts.sources) == cut]
        return rng.choice(wanted or free)

    def process(self, number):
        return self.site.processes[self.site.entries[number]["name"]]

    async def reloads(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            number = self.pick(rng, rng.random() < 0.5)
            happening = self.begin("reload", number)
            self.process(number).send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            happening.over()

    async def end_and_start(self, number, what, number_of_signal):
        self.stopping.add(number)
        happening = self.begin(what, number)
        process = self.process(number)
        process.send_signal(number_of_signal)
        await process.wait()
        self.play.exits[what, process.returncode] += 1
        self.play.record.write("ended", what=what, vm=number, code=process.returncode)
        happening.over()
        await asyncio.sleep(0.2)
        node = self.site.entries[number]
        self.site.processes[node["name"]] = await self.site.start(node, False)
        await asyncio.sleep(2.0)
        self.stopping.discard(number)

    async def stops(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(2.0, 5.0))
            if len(self.stopping) < 2:
                number = self.pick(rng, rng.random() < 0.5)
                self.spawn(self.end_and_start(number, "stop", signal.SIGTERM))

    async def kills(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(12.0, 20.0))
            if len(self.stopping) < 2:
                number = self.pick(rng, rng.random() < 0.3)
                self.spawn(self.end_and_start(number, "kill", signal.SIGKILL))

    async def freezes(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(3.0, 8.0))
            number = self.pick(rng, False)
            process = self.process(number)
            happening = self.begin("freeze", number)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            happening.over()

    async def silences(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            targets = rng.sample(self.play.targets, rng.randint(1, len(self.play.targets) // 2))
            seconds = rng.uniform(1.0, 1.5)
            for target in targets:
                target.silent_until = time.monotonic() + seconds
            happening = self.begin("silence")
            await asyncio.sleep(seconds)
            happening.over()

    async def limits(self, rng):
        while True:
            await asyncio.sleep(rng.uniform(2.0, 8.0))
            targets = rng.sample(self.play.targets, rng.randint(1, 3))
            happening = self.begin("limits")
            for target in targets:
                target.limit = rng.choice([0.5, 2.0, 5.0, 10.0])
            await asyncio.sleep(rng.uniform(4.0, 8.0))
            for target in targets:
                target.limit = 0.0
            happening.over()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    async def play_for(self, seconds):
        without = self.play.options.without.split(",")
        for kind in KINDS:
            if kind not in without:
                rng = random.Random(f"{self.play.options.seed} {kind}")
                self.spawn(getattr(self, kind)(rng))
        await asyncio.sleep(seconds)
        for task in self.tasks:
            task.cancel()
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.play.errors.append(repr(result))
        self.play.cuts.end()
        for number in range(self.play.options.entries):
            if self.process(number).returncode is None:
                self.process(number).send_signal(signal.SIGCONT)
