"""A core machine is replaced, and none of its successor's seeds leads at that time."""

import os
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import CANNOT_RUN, LARGE_BOUNDS, Operator, Record, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = LARGE_BOUNDS
FOLDER = os.path.dirname(os.path.abspath(__file__))


def document(version):
    return {
        "version": version,
        "routes": [{
            "name": "r-shop", "host": "shop.example", "path_prefix": f"/v{version}/",
            "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 386, "priority": 2,
            "service": "shop", "max_attempts": 2, "public": True}],
        "services": [{"name": "shop", "health_path": "/health", "conn_limit": 100,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [],
    }


def lose_disk(process, record):
    process.kill()
    shutil.rmtree(process.data)
    os.mkdir(process.data)
    record.write(f"{process.ip} lost its disk")


def main():
    record = Record(FOLDER)
    site = Site(controls=5, entries=0, bounds=BOUNDS, tolerance=2)
    operator = Operator(site, record)
    site.start()
    running = list(site.controls)
    record.write(f"started five control VMs, first start; seeds of all: {site.seeds}")
    if operator.put(document(1), [p.ip for p in running], 20) is None:
        sys.exit(CANNOT_RUN)
    site.end_bootstrap()
    time.sleep(2 * BOUNDS["catch_up_s"])
    leader = operator.put(document(3), [p.ip for p in running], 6)
    if leader is None:
        sys.exit(CANNOT_RUN)

    if TROUBLE:
        # One machine that doesn't lead is gone for good; its successor comes 1 s later.
        removed = next(p for p in running if p.ip != leader)
        removed.kill()
        shutil.rmtree(removed.data)
        running.remove(removed)
        record.write(f"{removed.ip} gone for good")
        time.sleep(1)
        # Three machines of the operator's list, all of which run; the platform knows no leader.
        site.seeds = [p.ip for p in running if p.ip != leader]
        successor = site.add_control(5, False)
        successor.start()
        running.append(successor)
        record.write(f"successor {successor.ip} started, empty disk, seeds {site.seeds}")
        time.sleep(2 * BOUNDS["catch_up_s"])
        record.write(f"the successor has run for twice catch_up_s ({BOUNDS['catch_up_s']} s)")
        record.write(f"read at the successor: status {operator.get(successor.ip)[1]}")

    nodes = [p.ip for p in running]
    acknowledged = operator.put(document(7), nodes, 6)
    if acknowledged is None:
        sys.exit(CANNOT_RUN)
    # As many machines as may be lost at the same time lose their disks.
    first = next(p for p in running if p.ip == acknowledged)
    second = next(p for p in running[:-1] if p is not first)
    for process in (first, second):
        lose_disk(process, record)
    time.sleep(1)
    for process in (first, second):
        process.start()
    record.write("both are back at their addresses, empty disks, bootstrap false")

    end = time.monotonic() + 2 * BOUNDS["recover_s"] + BOUNDS["contact_window_ms"] / 1000
    answers, found = {}, None
    while time.monotonic() < end and (found is None or found < 7):
        for ip in nodes:
            _, status, version = operator.get(ip)
            seen = f"read at {ip}: status {status}, version {version}"
            if answers.get(ip) != seen:
                answers[ip] = seen
                record.write(seen)
            found = version if status == 200 else found
        time.sleep(0.3)
    held = found is not None and found >= 7
    record.write(f"{'HELD' if held else 'BROKEN'}: version 7 was acknowledged; read back: {found}")
    sys.exit(0 if held else 1)


main()
