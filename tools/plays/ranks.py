"""Urgent and less urgent calls at more than the rate that the shops bear, with real processes.

Starts entry and control VMs with the commands of deploy/system.toml, and shops with a few slots and places in
which calls wait; a call without a place is refused as not run. A part of the calls is urgent. Callers come
back once after a refusal, when they are told to. Prints for each rank how many calls were served and how
many within the objective.

    ranks.py --overload 2 --urgent 0.25 --seconds 20

CHECKOUT names the checkout whose build is run.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins"))
import deployment as d  # noqa: E402

d.ROOT = os.path.abspath(os.environ.get("CHECKOUT", os.path.join(HERE, "..", "..")))
HOST = "shop.example"
TIMEOUT_S = 1.5
OBJECTIVE_S = 0.4
RANKS = {"urgent": 0, "less urgent": 2}


class Shop(d.Server):
    """Runs a few calls at once; the most urgent of the waiting ones is next."""

    def __init__(self, site, index, options):
        super().__init__(site, "shop-app", index, options.slots)
        self.places = options.places
        self.call_s = options.call_ms / 1000
        self.waiting = []
        self.free = options.slots

    async def handle(self, head, body, writer):
        if self.free == 0 and len(self.waiting) >= self.places:
            writer.write(self.refusal(head, "503 Service Unavailable"))
            return
        if self.free == 0:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append((int(head.get("request-urgency", "5")), time.monotonic(), turn))
            self.waiting.sort(key=lambda entry: entry[:2])
            await turn
        else:
            self.free -= 1
        try:
            await asyncio.sleep(self.call_s)
        finally:
            if self.waiting:
                self.waiting.pop(0)[2].set_result(None)
            else:
                self.free += 1
        writer.write(self.answer(head, "200 OK", self.stamp(), b"done"))


class Play:
    def __init__(self, options, record):
        self.options = options
        self.site = d.Deployment(record, entries=options.entries)
        self.shops = [Shop(self.site, n, options) for n in range(options.shops)]
        self.results = collections.defaultdict(list)
        self.statuses = collections.Counter()

    def document(self):
        routes = [d.route(name.replace(" ", "-"), HOST, f"/{rank}/", "non_idempotent", "shop-app",
                          priority=rank, timeout_ms=int(1000 * TIMEOUT_S),
                          target_latency_ms=int(1000 * OBJECTIVE_S))
                  for name, rank in RANKS.items()]
        return d.desired_state(1, routes, [d.plain_service("shop-app")])

    async def run(self):
        try:
            for shop in self.shops:
                await shop.start()
            await self.site.start_all()
            await self.site.put(self.document())
            await self.site.await_ready()
            await asyncio.sleep(4)
            await self.load()
        finally:
            for shop in self.shops:
                await shop.crash()
            await self.site.stop()

    async def load(self):
        options = self.options
        capacity = options.shops * options.slots * 1000 / options.call_ms
        rate = capacity * options.overload
        tasks, due = [], time.monotonic()
        until = due + options.seconds
        while due < until:
            due += random.expovariate(rate)
            await asyncio.sleep(max(0, due - time.monotonic()))
            rank = "urgent" if random.random() < options.urgent else "less urgent"
            tasks.append(asyncio.create_task(self.call(rank)))
        self.lag = time.monotonic() - due
        await asyncio.gather(*tasks)

    async def call(self, rank):
        begin = time.monotonic()
        for attempt in range(2):
            rest = TIMEOUT_S - (time.monotonic() - begin)
            status, after = await self.attempt(rank, rest)
            self.statuses[f"{rank} {status}"] += 1
            rest = TIMEOUT_S - (time.monotonic() - begin)
            if status not in (429, 503) or attempt == 1 or rest <= 0.05:
                break
            await asyncio.sleep(min(after, rest / 3))
        self.results[rank].append((status == 200, time.monotonic() - begin))

    async def attempt(self, rank, rest):
        address = self.site.front(random.randrange(self.options.entries))
        fields = [("Host", HOST), ("Request-Id", f"{random.getrandbits(64):016x}"),
                  ("Deadline-Ms", max(1, int(1000 * rest)))]
        requester = d.Requester(address)
        try:
            answer = await requester.send("POST", f"/{RANKS[rank]}/x", HOST, fields[1:],
                                          timeout=rest + 0.2)
        finally:
            requester.close()
        if answer is None:
            return 0, 0
        return answer[0].status, float(answer[0].get("retry-after", "0"))

    def report(self):
        lines = {}
        for rank, results in self.results.items():
            times = sorted(t for ok, t in results if ok)
            within = sum(1 for t in times if t <= OBJECTIVE_S)
            lines[rank] = {
                "calls": len(results), "served": round(len(times) / len(results), 3),
                "within the objective": round(within / len(results), 3),
                "p50 ms": round(1000 * times[len(times) // 2]) if times else None,
                "p95 ms": round(1000 * times[int(len(times) * 0.95)]) if times else None}
        print(json.dumps({"ranks": lines, "lag of the callers s": round(self.lag, 2),
                          "statuses": dict(sorted(self.statuses.items()))}, indent=1))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--overload", type=float, default=2.0)
    parser.add_argument("--urgent", type=float, default=0.25, help="share of the urgent calls")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--shops", type=int, default=3)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--places", type=int, default=24)
    parser.add_argument("--call-ms", type=float, default=75)
    options = parser.parse_args()
    random.seed(options.seed)
    record = d.Record(os.devnull)
    play = Play(options, record)
    try:
        asyncio.run(play.run())
        play.report()
    finally:
        record.close()


if __name__ == "__main__":
    main()
