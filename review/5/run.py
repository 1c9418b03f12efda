"""Servers run a request and reset the connection in place of the answer."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

SERVERS, FAULTY = 5, 3  # a share of 0.6
LOST = 0.4  # share of the answers of a faulty server
EVERY_S, LOSSY_S = 6.0, 4.0
MAX_ATTEMPTS = 2


class Server(shop.ShopServer):
    def lossy(self):
        return self.faulty and asyncio.get_running_loop().time() % EVERY_S < LOSSY_S

    async def send(self, head, data, writer, ran):
        if ran and self.lossy() and random.random() < LOST:
            self.record.write("answer lost", server=self.id, request=head.get("request-id"))
            d.reset(writer)
            return
        writer.write(data)


async def case(record, trouble):
    play = shop.Shop(
        record, lambda s, i: Server(s.site, i, s.runs, record, trouble and i < FAULTY),
        servers_count=SERVERS)
    await play.play(seconds=85, requesters=60, pause_s=(0.1, 0.5), orders=0.1)
    more = [r for r, runs in play.runs.items() if len({run["server"] for run in runs}) > MAX_ATTEMPTS]
    runs = [len(runs) for r, runs in play.runs.items() if play.sent[r] == "stock-check"]
    counts = {n: runs.count(n) for n in sorted(set(runs))}
    broken = more if len(more) > 3 else []
    return play.finish(broken, on_more_servers=len(more), lookups_by_runs=counts)


if __name__ == "__main__":
    d.main(__file__, case)
