"""A faulty server spoils one byte in the head of an answer."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d  # noqa: E402
import shop  # noqa: E402

SERVERS, FAULTY = 4, 2  # a share of 0.5
SPOILED = 0.025  # share of the answers of a faulty server
EVERY_S, FOR_S = 6.0, 5.0
TIMEOUT_MS = 1500
DEADLINE_MS = 3000


class Server(shop.ShopServer):
    def spoils(self):
        return d.in_window(EVERY_S, FOR_S) and random.random() < SPOILED

    async def send(self, head, data, writer, ran):
        if self.faulty and ran and self.spoils():
            first, end = data.index(b"\r\n") + 2, data.index(b"\r\n\r\n")
            at = random.randrange(first, end)
            data = data[:at] + bytes([random.randrange(256)]) + data[at + 1:]
            self.record.write("spoiled byte", server=self.id, request=head.get("request-id"),
                              head=data[:end])
        writer.write(data)


async def case(record, trouble):
    play = shop.Shop(record, lambda s, i: Server(s.site, i, s.runs, record, trouble and i < FAULTY),
                     TIMEOUT_MS, DEADLINE_MS, servers_count=SERVERS)
    await play.play(seconds=85, requesters=60, pause_s=(0.1, 0.5))
    late = [r for r in play.sent if r not in play.answers or play.answers[r][2] >= TIMEOUT_MS / 1e3]
    silent = [r for r in late if r not in play.answers
              or play.answers[r][2] > (TIMEOUT_MS + 500) / 1e3]
    broken = silent if len(silent) >= 8 and len(silent) * 4 > len(late) else []
    return play.finish(broken, still_open_at_timeout=len(late), open_half_a_second_later=len(silent))


if __name__ == "__main__":
    d.main(__file__, case)
