"""Callers of a site whose VMs are replaced, one after the other, by those of another build and back.

Starts four entry and three control VMs of the old build with the commands of its deploy/system.toml, engines
and shops, and keeps callers of orders, lookups and streams at work. In each round every VM is stopped
with SIGTERM and started from the other checkout, with its folder and address.

    upgrade.py --old CHECKOUT --new CHECKOUT --rounds 2

Both checkouts need a finished build (the command "build" in deploy/system.toml). Fails if a request is lost,
gets an answer that is not its own, is run twice although it may run once, or if more than one in 50
requests crosses a close of its connection (passed on to nobody, and closed within 200 ms).
"""

import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys

import versions_beside_cuts as play  # first: it adds the folder of the stand-ins to the path
import cut_callers
import cut_events
import cut_links
import deployment as d

MAX_CROSSED_SHARE = 0.02


class MixedDeployment(d.Deployment):
    """Starts each VM from the checkout that is set for it."""

    def __init__(self, record, entries, old, new):
        self.builds = {"old": old, "new": new}
        self.roles_by_build = {
            name: d.read_roles(os.path.join(root, "deploy", "system.toml"))
            for name, root in self.builds.items()}
        super().__init__(record, entries=entries)
        self.build = {node["name"]: "old" for node in self.controls + self.entries}

    def start(self, node, bootstrap, core=None):
        build = self.build[node["name"]]
        d.ROOT = self.builds[build]
        self.roles = self.roles_by_build[build]
        return super().start(node, bootstrap, core)


class Caller(cut_callers.Caller):
    """Notes answers of shops that belong to another request."""

    async def answer(self, one):
        head = await d.read_head(self.reader)
        one.status = head.status
        one.own = head.get("server-stamp") is None
        body = b""
        if "chunked" in head.get("transfer-encoding", "").lower():
            while chunk := await d.read_chunk(self.reader):
                body += chunk
        else:
            body = await d.read_body(self.reader, head)
        one.end = "answered"
        self.answers += 1
        shop = one.kind != "stream" and one.status == 200
        if head.get("request-id", one.id) != one.id or (
                shop and body != f"answer of {one.id}".encode()):
            self.play.mixed.append(one.id)
        return head.get("connection", "").lower() == "close"


class Upgrade(play.Play):
    """The load of versions_beside_cuts.py without its disturbances."""

    def __init__(self, options, record):
        super().__init__(options, record)
        shutil.rmtree(self.site.folder, ignore_errors=True)
        self.site = MixedDeployment(record, options.entries, options.old, options.new)
        for target in self.targets:
            target.site = self.site
            target.ip = self.site.ip(60 + target.number)
        self.events = cut_events.Events(self)
        self.mixed = []
        self.stops = collections.Counter()

    async def load(self):
        lag = asyncio.create_task(self.measure_lag())
        until = [float("inf")]
        callers = [Caller(self, n) for n in range(self.options.callers)]
        loops = [asyncio.create_task(self.call_until(caller, until)) for caller in callers]
        for number in range(self.options.rounds):
            await self.replace_all("new" if number % 2 == 0 else "old")
        until[0] = 0
        await asyncio.gather(*loops)
        lag.cancel()

    async def call_until(self, caller, until):
        while until[0]:
            await caller.loop(asyncio.get_running_loop().time() + 1)
        caller.close()

    async def replace_all(self, build):
        """Replaces all VMs, entry and control VMs by turns."""
        entries, controls = list(self.site.entries), list(self.site.controls)
        while entries or controls:
            for nodes in (entries, controls):
                if nodes:
                    await self.replace(nodes.pop(0), build)

    async def replace(self, node, build):
        number = self.site.entries.index(node) if node in self.site.entries else None
        happening = self.events.begin("stop", number)
        process = self.site.processes[node["name"]]
        process.send_signal(signal.SIGTERM)
        await process.wait()
        happening.over()
        self.stops[f"{node['role']} to {build}"] += 1
        self.exits[f"{node['role']}", process.returncode] += 1
        self.site.build[node["name"]] = build
        self.site.processes[node["name"]] = await self.site.start(node, False)
        await self.site.await_ready()
        self.events.version += 1
        await self.site.put(self.events.document())
        await asyncio.sleep(play.CONTACT_WINDOW_S)

    def report(self):
        faults = super().report()
        twice = [one.id for one in self.requests
                 if one.kind == "order" and len(self.runs.get(one.id, [])) > 1]
        crossed = sum(1 for one in self.requests if self.verdict(one) == "crossed the close")
        print(json.dumps({"requests": len(self.requests), "stops": dict(self.stops),
                          "lost or unfinished": len(faults), "mixed": self.mixed,
                          "orders run twice": twice, "crossed a close": crossed}, indent=1))
        too_many = crossed > MAX_CROSSED_SHARE * len(self.requests)
        return bool(faults or self.mixed or twice or too_many)


def parse():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--old", required=True, help="checkout of the build that runs first")
    parser.add_argument("--new", required=True, help="checkout of the other build")
    parser.add_argument("--rounds", type=int, default=2, help="2: to the new build and back")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--shops", type=int, default=3)
    parser.add_argument("--callers", type=int, default=80)
    parser.add_argument("--show", type=int, default=10, help="faults that are printed whole")
    parser.add_argument("--keep", action="store_true", help="keep the logs of the VMs")
    options = parser.parse_args()
    options.old, options.new = os.path.abspath(options.old), os.path.abspath(options.new)
    options.seconds = 0
    return options


def main():
    options = parse()
    random.seed(options.seed)
    d.ROOT = options.old
    record = d.Record(os.devnull)
    upgrade = Upgrade(options, record)
    try:
        asyncio.run(upgrade.run())
        failed = upgrade.report()
    finally:
        record.close()
    if not failed and not options.keep and not upgrade.errors:
        shutil.rmtree(upgrade.site.folder, ignore_errors=True)
    sys.exit(2 if upgrade.errors else 1 if failed else 0)


if __name__ == "__main__":
    main()
