"""A faulty server sends, after a complete answer, the beginning of a second copy of it."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

SERVERS, FAULTY = 4, 2  # a share of 0.5
SPOILED = 0.02  # share of the answers of a faulty server
EVERY_S, FOR_S = 6.0, 5.0


class Server(shop.ShopServer):
    def spoils(self):
        return d.in_window(EVERY_S, FOR_S) and random.random() < SPOILED

    async def send(self, head, data, writer, ran):
        if self.faulty and ran and self.spoils():
            end = data.index(b"\r\n\r\n")
            data += data[: random.randint(1, end)]
            self.record.write("additional bytes", server=self.id, after=head.get("request-id"))
        writer.write(data)

    def answer(self, head, status, stamp, body):
        fields = [
            ("Date", "Sat, 05 Dec 2026 09:00:00 GMT"),
            ("Content-Type", "application/octet-stream"),
            ("Keep-Alive", f"timeout={d.KEEP_ALIVE_S}"),
            ("Request-Id", head.get("request-id", "")),
            ("Server-Stamp", stamp),
            ("Content-Length", len(body)),
        ]
        return d.message(f"HTTP/1.1 {status}", fields, body)


async def case(record, trouble):
    play = shop.Shop(record, lambda s, i: Server(s.site, i, s.runs, record, trouble and i < FAULTY),
                     servers_count=SERVERS)
    await play.play(seconds=90, requesters=110, pause_s=(0.1, 0.5))
    broken = []
    for request, (head, body, _) in play.answers.items():
        if head.status // 100 != 2:
            continue
        stamp = head.get("server-stamp")
        given = [run for run in play.runs.get(request, []) if run["stamp"] == stamp]
        if not given or given[0]["status"] != head.status or given[0]["body"] != body:
            broken.append(request)
    return play.finish(broken)


if __name__ == "__main__":
    d.main(__file__, case)
