"""The operator numbers the first desired state 0."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import BOUNDS, CANNOT_RUN, Operator, Record, Server, Site, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))


def document(version):
    return {
        "version": version,
        "routes": [{
            "name": "r-shop", "host": "shop.example", "path_prefix": "/stock/",
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
    site = Site(controls=3, entries=1)
    operator = Operator(site, record)
    site.start()
    nodes = [process.ip for process in site.controls]
    server = Server(site, 0, "shop")
    server.start()
    version = 0 if TROUBLE else 1
    record.write(f"started three control VMs, an entry VM and a server; sends version {version}")
    if operator.put(document(version), nodes, 20) is None:
        record.write("the first desired state was not acknowledged")
        sys.exit(CANNOT_RUN)
    site.end_bootstrap()

    end = time.monotonic() + 2 * BOUNDS["recover_s"]
    read, served, sent, last = None, 0, 0, None
    while time.monotonic() < end and (TROUBLE or read is None or not served):
        for ip in nodes:
            answered, status, found = operator.get(ip)
            read = found if status == 200 else read
            if (status, found) != last:
                last = (status, found)
                record.write(f"read at {ip}: status {status}, version {found}")
        sent += 1
        status, headers, _ = call(
            site.entries[0].ip, site.front_port, "GET", "/stock/1", None, 2,
            {"Host": "shop.example", "Request-Id": f"{sent:016x}", "Deadline-Ms": "1500"})
        served += status == 200
        time.sleep(0.5)
    record.write(f"{served} of {sent} requests on the acknowledged route were served")
    kept = read == version
    record.write(f"{'HELD' if kept else 'BROKEN'}: version {version} was acknowledged and "
                 f"{'is' if kept else 'is not'} read back")
    sys.exit(0 if kept and served else 1)


main()
