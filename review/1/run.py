"""A faulty server sends a second copy of an answer where the next answer is expected."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

SPOILED = 0.03  # share of the answers of the faulty server
EVERY_S, FOR_S = 6.0, 5.0
SECONDS = 92
REQUESTERS = 40
PAUSE_S = (0.2, 0.6)
ENTRIES = 6
SLOTS, QUEUE, WORK_S = 2, 1, (0.008, 0.014)


class Server(shop.ShopServer):
    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.extra = {}

    async def serve_requests(self, reader, writer):
        try:
            await super().serve_requests(reader, writer)
        finally:
            self.extra.pop(writer, None)

    async def handle(self, head, body, writer):
        copy = self.extra.pop(writer, None)
        if copy is not None:
            writer.write(copy)
            self.record.write("late copy sent", server=self.id, before=head.get("request-id"))
        await super().handle(head, body, writer)

    async def send(self, head, data, writer, ran):
        writer.write(data)
        if self.faulty and d.in_window(EVERY_S, FOR_S) and random.random() < SPOILED:
            self.extra[writer] = data
            self.record.write("copy kept", server=self.id, of=head.get("request-id"), ran=ran)


async def case(record, trouble):
    play = shop.Shop(
        record,
        lambda s, i: Server(s.site, i, s.runs, record, trouble, SLOTS, QUEUE, WORK_S),
        servers_count=1, entries=ENTRIES)
    await play.play(seconds=SECONDS, requesters=REQUESTERS, pause_s=PAUSE_S, orders=1.0)
    broken = [r for r, runs in play.runs.items() if len(runs) > 1]
    refused = [r for r, (head, _, _) in play.answers.items()
               if head.status in (429, 503, 408, 421) and r in play.runs]
    return play.finish(broken, refused_but_ran=len(refused))


if __name__ == "__main__":
    d.main(__file__, case)
