"""A faulty server sends, after a complete answer, the beginning of a second copy of it."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

SPOILED = 0.03  # share of the answers of a faulty server


class Server(shop.ShopServer):
    async def send(self, head, data, writer, ran):
        if self.faulty and ran and random.random() < SPOILED:
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
    # A share of 0.6 of three servers is two of them.
    play = shop.Shop(record, lambda s, i: Server(s.site, i, s.runs, record, trouble and i < 2))
    await play.play(seconds=80, requesters=60, pause_s=(0.1, 0.5))
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
