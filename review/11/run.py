"""Two core machines are removed after their successors have caught up; then two disks are lost."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from deployment import BROKEN, HELD, TROUBLE, NotReady, Site, desired, play, route

CATCH_UP_S = 6
RECOVER_S = 15


def case(box):
    site = Site(FOLDER, controls=5, entries=0, tolerated=2, catch_up_s=CATCH_UP_S,
                recover_s=RECOVER_S, contact_window_ms=4000, ack_ms=5000)
    box.append(site)
    site.start()
    site.put(desired(1, [route("stock", "/stock/", "shop")], ["shop"]))
    for p in site.controls:
        p.write_settings(False)  # bootstrap is true at the first start only

    def await_voters(count):
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if all(p.roles() and p.roles()[-1].count(":") == count for p in site.controls):
                site.record.write("%d voters" % count)
                return
            time.sleep(0.2)
        raise NotReady("not %d voters: %s" % (count, [p.roles()[-1:] for p in site.controls]))

    await_voters(5)
    leaving, lost, staying = site.controls[3:5], site.controls[1:3], site.controls[0:1]
    successors = []
    for _ in leaving:
        successors.append(site.add_control([p.ip for p in site.controls[:3]]))
        site.record.write("%s starts as a successor" % successors[-1].name)
        time.sleep(2)
    await_voters(7)
    time.sleep(2 * CATCH_UP_S)
    site.put(desired(7, [route("stock", "/stock/", "shop")], ["shop"]))
    if TROUBLE:
        for p in leaving:
            site.record.write("%s is removed for good" % p.name)
            p.kill()
    for p in lost:
        site.record.write("%s loses its disk" % p.name)
        p.kill()
        p.lose_disk()
    time.sleep(1)
    running = [p for p in site.controls if not (TROUBLE and p in leaving)]
    for p in lost:
        p.seeds = [q.ip for q in staying + successors]
        p.write_settings(False)
        p.start()
    back = time.monotonic()
    seen, last = {}, None
    while time.monotonic() < back + 2 * RECOVER_S + 5 and last is None:
        for p in running:
            status, data = site.call_control("GET", "/-/Config.Get", first=p.ip, timeout=3.0)
            seen[status] = seen.get(status, 0) + 1
            if status == 200:
                last = json.loads(data)["version"]
        time.sleep(0.5)
    took = time.monotonic() - back
    for p in running:
        site.record.write("%s: %s" % (p.name, p.roles()[-1:]))
    summary = "answers to reads: %s; the acknowledged version 7 %s" % (
        seen,
        "is read back after %.1f s" % took if last == 7
        else "is not read back in %.0f s (version %s)" % (took, last))
    site.record.write(summary)
    print(summary)
    return HELD if last == 7 else BROKEN


play(FOLDER, case)
