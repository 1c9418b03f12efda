"""A core machine is replaced as planned; then another one loses its disk."""

import os
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, CANNOT_RUN, Operator, Record, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
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


def main():
    record = Record(FOLDER)
    site = Site(controls=3, entries=0)
    operator = Operator(site, record)
    by_ip = {process.ip: process for process in site.controls}
    site.start()
    old = [process.ip for process in site.controls]
    record.write(f"started three control VMs, first start: {old}")
    if operator.put(document(1), old, 20) is None:
        record.write("the deployment did not start")
        sys.exit(CANNOT_RUN)
    site.end_bootstrap()
    time.sleep(2)
    leader = operator.put(document(3), old, 4)

    # Planned replacement: the new machine first, at another address and with an empty disk.
    successor = site.add_control(3, False)
    by_ip[successor.ip] = successor
    successor.start()
    record.write(f"successor {successor.ip} started, empty disk")
    time.sleep(2 * BOUNDS["catch_up_s"])
    record.write(f"the successor has run for twice catch_up_s ({BOUNDS['catch_up_s']} s)")
    removed = next(p for p in site.controls if p.ip != leader)
    record.write(f"SIGTERM to {removed.ip}, which leaves for good")
    removed.terminate(BOUNDS["grace_s"])
    record.write(f"{removed.ip} has ended with {removed.process.returncode}; it does not return")
    shutil.rmtree(removed.data)
    rest = [ip for ip in by_ip if ip != removed.ip]

    time.sleep(1)
    acknowledged = operator.put(document(7), rest, 4)
    if acknowledged is None:
        record.write("no machine acknowledged version 7, so the case cannot go on")
        sys.exit(CANNOT_RUN)
    if TROUBLE:
        lost = by_ip[acknowledged]
        lost.kill()
        shutil.rmtree(lost.data)
        os.mkdir(lost.data)
        record.write(f"{lost.ip}, which has just acknowledged version 7, lost its disk")
        time.sleep(1)
        lost.start()
        record.write(f"{lost.ip} is back at its address with an empty disk, bootstrap false")

    # All machines are back. The bound for service is recover_s; read on for twice that.
    end = time.monotonic() + 2 * BOUNDS["recover_s"] + BOUNDS["contact_window_ms"] / 1000
    answers = {}
    last = None
    while time.monotonic() < end:
        for ip in rest:
            answered, status, version = operator.get(ip)
            seen = f"read at {ip}: status {status}, version {version}"
            if answers.get(ip) != seen:
                answers[ip] = seen
                record.write(seen)
            if status == 200:
                last = version
        if last is not None and last >= 7 and not TROUBLE:
            break
        time.sleep(0.3)
    again = operator.put(document(9), rest, 4) is not None
    if last is None:
        record.write("BROKEN: version 7 was acknowledged, and no machine gives the desired state")
    elif last < 7:
        record.write(f"BROKEN: version 7 was acknowledged, and version {last} is read back")
    else:
        record.write(f"HELD: version {last} is read back")
    record.write(f"a further change is {'acknowledged' if again else 'not acknowledged'}")
    sys.exit(0 if last is not None and last >= 7 else 1)


main()
