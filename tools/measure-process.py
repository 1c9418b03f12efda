#!/usr/bin/env python3
"""Measures the processor time of one entry and one control process on loopback addresses.

Starts both with the commands of deploy/system.toml, sends heartbeats of stand-in targets, and
prints for each process the processor seconds until the entry process is ready, the cores used
while idle, the context switches per second and the threads that used most.

    tools/measure-process.py [--targets 100] [--seconds 30] [--warm 10] [--repeat 1]

Times are user and system time of /proc/PID/stat in
units of 10 ms. Exits with 2 if the processes do not become ready.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
import deployment  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(stat_path):
    with open(stat_path, encoding="utf-8") as file:
        text = file.read()
    fields = text[text.rindex(")") + 2:].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def threads(pid):
    """Returns name, processor seconds and voluntary context switches of each thread."""
    found = {}
    for task in os.listdir(f"/proc/{pid}/task"):
        folder = f"/proc/{pid}/task/{task}"
        try:
            with open(f"{folder}/comm", encoding="utf-8") as file:
                name = file.read().strip()
            with open(f"{folder}/status", encoding="utf-8") as file:
                switches = [l for l in file if l.startswith("voluntary_ctxt_switches")]
            with open(f"{folder}/schedstat", encoding="utf-8") as file:
                seconds = int(file.read().split()[0]) / 1e9
        except (OSError, ValueError):
            continue
        found[task] = (name, seconds, int(switches[0].split()[1]))
    return found


async def beat(site, number, count, interval_s):
    """Sends the heartbeats of one target on new connections, as targets do."""
    await asyncio.sleep(interval_s * number / count)
    statement = {
        "service": "s", "address": f"{site.ip(60 + number % 100)}:8080", "zone": "a",
        "version": "v1", "slots": 134, "state": "ready", "cold_left_ms": 0, "seq": 0,
        "born": int(time.time() * 1000) + number,
    }
    path = f"/-/Instances.Heartbeat/i-{number:04d}-{'0' * 8}"
    while True:
        statement["seq"] += 1
        try:
            body = json.dumps(statement).encode()
            await deployment.call(site.control_addresses[0], "POST", path, body=body, timeout=1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(interval_s)


async def measure(arguments, record):
    site = deployment.Deployment(record, entries=1, controls=1)
    for role in site.roles.values():
        role["run"] = role["run"].replace("java ", f"java {arguments.java_options} ", 1)
    beats = []
    try:
        await site.start_all()
        beats = [asyncio.create_task(beat(site, i, arguments.targets, arguments.interval))
                 for i in range(arguments.targets)]
        await site.put(deployment.desired_state(
            1, [deployment.route("r", "r.test", "/", "idempotent", "s")],
            [deployment.plain_service("s")]))
        await site.await_ready()
        pids = {name: process.pid for name, process in site.processes.items()}
        result = {name: {"start_s": processor_seconds(f"/proc/{pid}/stat")}
                  for name, pid in pids.items()}
        await asyncio.sleep(arguments.warm)
        before = {name: (time.monotonic(), processor_seconds(f"/proc/{pid}/stat"), threads(pid))
                  for name, pid in pids.items()}
        await asyncio.sleep(arguments.seconds)
        for name, pid in pids.items():
            started, used, old = before[name]
            elapsed = time.monotonic() - started
            result[name]["idle_cores"] = (processor_seconds(f"/proc/{pid}/stat") - used) / elapsed
            rows = []
            for task, (thread, seconds, switches) in threads(pid).items():
                past = old.get(task, (thread, 0, 0))
                rows.append(((seconds - past[1]) / elapsed, (switches - past[2]) / elapsed, thread))
            result[name]["switches_per_s"] = sum(row[1] for row in rows)
            result[name]["threads"] = sorted(rows, reverse=True)[:6]
        return result
    finally:
        for task in beats:
            task.cancel()
        await site.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--targets", type=int, default=100)
    parser.add_argument("--interval", type=float, default=1.2, help="of heartbeats, in seconds")
    parser.add_argument("--seconds", type=float, default=30, help="measured idle time")
    parser.add_argument("--warm", type=float, default=10, help="time before it")
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--root", default=ROOT, help="checkout whose processes are started")
    parser.add_argument("--java-options", default="", help="added to the commands of both roles")
    arguments = parser.parse_args()
    deployment.ROOT = os.path.abspath(arguments.root)
    with tempfile.TemporaryDirectory() as folder:
        record = deployment.Record(os.path.join(folder, "record.txt"))
        try:
            for _ in range(arguments.repeat):
                for name, row in asyncio.run(measure(arguments, record)).items():
                    print(f"{name:10} start {row['start_s']:.2f} s  idle {row['idle_cores']:.4f}"
                          f" cores  switches {row['switches_per_s']:.0f}/s")
                    for cores, switches, thread in row["threads"]:
                        print(f"    {thread:16} {cores:.4f} cores {switches:7.1f} switches/s")
                    sys.stdout.flush()
        except TimeoutError as error:
            print("not ready:", error, file=sys.stderr)
            sys.exit(2)
        finally:
            record.close()


if __name__ == "__main__":
    main()
