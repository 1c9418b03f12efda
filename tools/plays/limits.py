"""Shop servers name limits; counts what each of them gets in any four seconds.

Starts control and entry processes with the commands of deploy/system.toml, as the review does.

    limits.py --entries 6 --rate 50 --limits 1.9,0,0 --seconds 30 --seed 1

--limits has one value for each server, 0 for none. From --from seconds after the start of the load on
the servers name them, until --until. Prints for each server the most requests of four seconds, what
its limit allows (one and a half times, and five) and the share of the limit that was used.
"""

import argparse
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

d.ROOT = os.path.abspath(os.environ.get("CHECKOUT", os.path.join(HERE, "..", "..")))
WINDOW_S = 4.0
CONTACT_WINDOW_S = 3.0


class LimitedServer(shop.ShopServer):
    """Names its limit in each answer while the limits are in force, and notes each request."""

    def __init__(self, owner, index):
        super().__init__(owner.site, index, owner.runs, owner.record, faulty=False)
        self.owner = owner
        self.limit = owner.limits[index % len(owner.limits)]
        self.got = []

    def limited(self):
        return self.limit > 0 and self.owner.begin <= self.owner.now() < self.owner.end

    async def handle(self, head, body, writer):
        self.got.append(self.owner.now())
        await super().handle(head, body, writer)

    async def send(self, head, data, writer, ran):
        if self.limited():
            line = f"\r\nServer-Limit: {self.limit}\r\n".encode()
            data = data.replace(b"\r\n", line, 1)
        writer.write(data)

    def most(self, since, until):
        times = [at for at in self.got if since <= at < until]
        return max((sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
                   default=0)


class Play(shop.Shop):
    """The shop of the review with limits of its servers."""

    def __init__(self, record, options):
        self.limits = [float(value) for value in options.limits.split(",")]
        self.begin = self.end = float("inf")
        self.options = options
        super().__init__(record, LimitedServer, servers_count=len(self.limits),
                         entries=options.entries)

    def now(self):
        return asyncio.get_running_loop().time()

    async def requester(self, number, until, pause_s, orders):
        start = until - self.options.seconds
        self.begin = start + self.options.begin
        self.end = start + self.options.until
        await super().requester(number, until, pause_s, orders)

    def report(self):
        broken = False
        for server in self.servers:
            if not server.limit:
                print(f"{server.id}: no limit, {len(server.got)} requests")
                continue
            since = self.begin + CONTACT_WINDOW_S
            most = server.most(since, self.end)
            allowed = 1.5 * server.limit * WINDOW_S + 5
            got = sum(1 for at in server.got if since <= at < self.end)
            used = got / (server.limit * (self.end - since))
            after = sum(1 for at in server.got if at >= self.end + 2)
            broken |= most > allowed
            print(f"{server.id}: limit {server.limit} a second, most in 4 s {most}, allowed"
                  f" {allowed:.0f}, used {used:.2f} of it, {after} requests from 2 s after its end")
        statuses = {}
        for head, _, _ in self.answers.values():
            statuses[head.status] = statuses.get(head.status, 0) + 1
        print(f"{len(self.sent)} requests, statuses {statuses}")
        return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--rate", type=float, default=50)
    parser.add_argument("--limits", default="1.9,0,0")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--from", type=float, default=4, dest="begin")
    parser.add_argument("--until", type=float, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", default="limits.log")
    options = parser.parse_args()
    random.seed(options.seed)
    record = d.Record(options.record)
    play = Play(record, options)
    requesters = 30
    pause = requesters / options.rate
    asyncio.run(play.play(options.seconds, requesters, (0.5 * pause, 1.5 * pause)))
    broken = play.report()
    record.close()
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
