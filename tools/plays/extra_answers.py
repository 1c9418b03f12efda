"""Targets send further answers, or parts of them, on kept connections; callers check what they get.

Plays a deployment shaped like foldnet-wales or baobab-dakar (engines with layers that answer with
streams, a shop with orders and lookups) and counts, for each shape of further answer, how often it
was sent and how often the next answer on that connection broke rule MIXED.

    extra_answers.py --site foldnet-wales --seed 1 --seconds 40 [--shapes head-once,line-next]

CHECKOUT names the checkout whose build is run; the default is the one that holds this script.
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
sys.path.insert(0, HERE)
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins"))
import deployment as d  # noqa: E402
import engine as e  # noqa: E402
import extra_shapes  # noqa: E402
import log_events  # noqa: E402
from extra_targets import Engine, Shop  # noqa: E402
from extra_callers import Caller  # noqa: E402

d.ROOT = os.path.abspath(os.environ.get("CHECKOUT", os.path.join(HERE, "..", "..")))
e.LAYERS, e.LAYER_MB = 80, 1750.0

KINDS = [
    {"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2},
    {"name": "l40s", "mb": 43200.0, "pace": 5.6, "read_x": 2.7},
    {"name": "l4", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
]
ENGINES = [0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2]
STREAM_TIMEOUT_MS = 20000

SITES = {
    "foldnet-wales": {
        "engine": "sail-lm", "shop": "shop-app", "order": "kit-order", "lookup": "stock-check",
        "streams": ["guide-draft", "flight-report", "shop-reply"],
        "work_s": (0.02, 0.1), "timeout_ms": 800, "deadline_ms": 1500, "target_ms": 300},
    "baobab-dakar": {
        "engine": "sketch-model", "shop": "shop-api", "order": "order-charge",
        "lookup": "catalogue-lookup",
        "streams": ["icon-sketch", "caption-draft", "banner-compose"],
        "work_s": (0.005, 0.025), "timeout_ms": 1000, "deadline_ms": 1000, "target_ms": 100},
}


class Play:
    """What the targets ran and sent, and what each caller got."""

    ENGINE, SHOP, CALLER = Engine, Shop, Caller

    def __init__(self, options, record):
        self.options = options
        self.names = SITES[options.site]
        self.record = record
        self.random = random.Random(options.seed)
        self.shapes = extra_shapes.chosen(options.shapes)
        self.runs = collections.defaultdict(list)
        self.sent = collections.Counter()
        self.pieces = collections.Counter()
        self.cases = collections.Counter()
        self.results = collections.Counter()
        self.asked = {}
        self.logs = {}
        self.lags = [0.0]
        self.spoiling = False
        self.site = d.Deployment(record, entries=options.entries)
        self.engines = [self.ENGINE(self, i, KINDS[kind]) for i, kind in enumerate(ENGINES)]
        self.shops = [self.SHOP(self, len(ENGINES) + i, i < 2) for i in range(3)]

    def choose_faulty_engines(self):
        """Half of the engines that begin a path spoil answers; some of these fail requests."""
        first = [one for one in self.engines if one.layers is not None and one.layers[0] == 0]
        faulty = self.random.sample(first, (len(first) + 1) // 2)
        grey = faulty[: max(1, round(len(first) * self.options.grey))]
        for one in faulty:
            one.faulty, one.grey = True, one in grey
        self.record.write("faulty", first=len(first), faulty=len(faulty), grey=len(grey))

    def request_kind(self):
        streams = self.names["streams"]
        weights = [41.3, 24.1, 14.7, 6.86, 3.0]
        if self.options.plain:
            weights = [0.1, 0.1, 0.1, 1.0, 1.0]
        kinds = streams + [self.names["order"], self.names["lookup"]]
        return self.random.choices(kinds, weights)[0]

    def routes(self):
        names, plain = self.names, {"timeout_ms": self.names["timeout_ms"],
                                    "target_latency_ms": self.names["target_ms"]}
        routes = [
            d.route(name, f"{name}.example", "/s/", "stream", names["engine"], priority=1,
                    timeout_ms=STREAM_TIMEOUT_MS, target_latency_ms=500, max_attempts=2,
                    sticky=True, can_resume=True, target_gap_ms=200)
            for name in names["streams"]]
        routes.append(d.route(names["order"], "shop.example", "/pay/", "non_idempotent",
                              names["shop"], **plain))
        routes.append(d.route(names["lookup"], "shop.example", "/stock/", "idempotent",
                              names["shop"], max_attempts=2, **plain))
        return routes

    def services(self):
        engines = e.engine_service() | {"name": self.names["engine"]}
        engines["engine"] |= {"slots": 192, "kinds": KINDS, "layer_mb": e.LAYER_MB,
                              "layers": e.LAYERS, "kv_token_bytes": e.KV_TOKEN_BYTES}
        return [engines, d.plain_service(self.names["shop"])]

    async def run(self):
        targets = self.engines + self.shops
        try:
            for target in targets:
                await target.start()
            await self.site.start_all()
            await self.site.put(d.desired_state(1, self.routes(), self.services()))
            await self.site.await_ready()
            await self.await_streams()
            await self.load()
            self.logs = log_events.summary(self.site, self.names["order"])
        finally:
            for target in targets:
                if target.beats:
                    await target.crash()
            await self.site.stop()
        return self.report()

    async def await_streams(self):
        """Waits until every entry VM has answered a stream: until the layers are placed."""
        deadline = time.monotonic() + 40
        for number in range(self.options.entries):
            while await self.trial(number) != "200":
                if time.monotonic() > deadline:
                    raise TimeoutError("no stream was answered")
                await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        for count in (self.results, self.cases, self.sent, self.pieces, self.runs):
            count.clear()

    async def trial(self, number):
        caller = self.CALLER(self, number)
        result = await caller.call(self.names["streams"][0])
        caller.close()
        return result

    async def load(self):
        loop = asyncio.get_running_loop()
        until = loop.time() + self.options.seconds
        self.choose_faulty_engines()
        self.spoiling = True

        async def caller_loop(number):
            caller = self.CALLER(self, number)
            while loop.time() < until:
                await caller.call(self.request_kind())
                await asyncio.sleep(self.random.uniform(0.02, 0.15))
            await asyncio.sleep(0.5)
            await caller.check_idle()
            caller.close()

        lag = asyncio.create_task(self.measure_lag())
        await asyncio.gather(*(caller_loop(n) for n in range(self.options.callers)))
        lag.cancel()

    async def measure_lag(self):
        """Notes how late the play itself is: targets that starve look silent to the VMs."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.lags.append(loop.time() - due)

    def report(self):
        total = sum(self.sent.values())
        orders_twice = sum(1 for runs in self.runs.values()
                           if runs[0]["kind"] == "order" and len(runs) > 1)
        return {
            "site": self.options.site, "seed": self.options.seed, "requests": total,
            "streams": self.sent["stream"], "pieces": sum(self.pieces.values()),
            "cases": sum(self.cases.values()), "orders_run_twice": orders_twice,
            "results": dict(sorted(self.results.items())),
            "by_shape": {
                shape: {"pieces": self.pieces[shape],
                        "cases": sum(n for (s, _), n in self.cases.items() if s == shape)}
                for shape in sorted(self.pieces)},
            "kinds_of_case": {
                f"{shape}: {what}": n for (shape, what), n in sorted(self.cases.items())},
            "late by ms, most and share over 10 ms": [
                round(1000 * max(self.lags)),
                round(sum(1 for lag in self.lags if lag > 0.01) / len(self.lags), 3)],
            "logs": self.logs,
        }


def parser():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--site", choices=sorted(SITES), default="foldnet-wales")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--events", type=int, default=6)
    parser.add_argument("--share", type=float, default=0.1, help="share of answers spoilt")
    parser.add_argument("--broken-off", type=float, default=0.0,
                        help="share of the spoilt answers that are broken off")
    parser.add_argument("--grey", type=float, default=0.14, help="share of engines that also fail")
    parser.add_argument("--fails", type=float, default=0.45, help="failures of such an engine")
    parser.add_argument("--ids-first", action="store_true", help="answers begin with Request-Id")
    parser.add_argument("--plain", action="store_true", help="mostly orders and lookups")
    parser.add_argument("--shapes", default="all", help="names, or prefixes, separated by commas")
    parser.add_argument("--record", default=os.devnull)
    return parser


async def main(play=Play, options=None):
    options = options or parser().parse_args()
    random.seed(options.seed)
    record = d.Record(options.record)
    try:
        result = await play(options, record).run()
    finally:
        record.close()
    print(json.dumps(result, indent=1))
    return 1 if result["cases"] else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
