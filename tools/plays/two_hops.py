"""Requests that pass over another VM beside targets that stutter, and callers that repeat their own.

The play of extra_answers.py while some VMs are cut off from all targets, again and again. A part of
the requests is sent once more, with the same id, on a second connection while the answer is due: at
the same VM, at another one, or at one that is not cut off.

    two_hops.py --site foldnet-wales --seed 1 --seconds 60 --entries 4 --repeats 0.15
"""

import asyncio
import collections
import sys

import extra_answers  # first: it adds the folder of the stand-ins to the path
import cut_links
import extra_callers
import extra_targets


class Engine(cut_links.Cuttable, extra_targets.Engine):
    pass


class Shop(cut_links.Cuttable, extra_targets.Shop):
    pass


class Attempt(extra_callers.Caller):
    """Notes which VM sent the request to the target that answered."""

    served_by = None

    def __init__(self, play, number):
        super().__init__(play, number)
        self.number = number % play.options.entries

    async def try_exchange(self, request, method, data, leaves, limit):
        self.served_by = None
        return await super().try_exchange(request, method, data, leaves, limit)

    def check(self, request, method, head, body, complete):
        super().check(request, method, head, body, complete)
        stamp = head.get("server-stamp")
        for run in self.play.runs.get(request, []):
            if run["stamp"] == stamp:
                self.served_by = run["vm"]
        if stamp is not None and stamp in self.play.used_stamps:
            self.case(request, "answer of a run that another attempt got", head.start)
        self.play.used_stamps.add(stamp)


class Caller(Attempt):
    """Sends some requests twice; counts results by VM and by the number of hops."""

    async def try_exchange(self, request, method, data, leaves, limit):
        play = self.play
        loop = asyncio.get_running_loop()
        since = loop.time()
        again = None
        if play.spoiling and play.random.random() < play.options.repeats:
            again = asyncio.create_task(self.repeat(request, method, data, limit))
        try:
            result = await super().try_exchange(request, method, data, leaves, limit)
        finally:
            if again is not None:
                await again
        self.count("first" if again else "only", self, request, result, since)
        return result

    async def repeat(self, request, method, data, limit):
        """Sends the request once more; the answer of either run is its own."""
        play = self.play
        loop = asyncio.get_running_loop()
        where, number = self.choose_vm()
        second = Attempt(play, number)
        await asyncio.sleep(play.random.uniform(0.0, 0.06))
        since = loop.time()
        play.twice[request] = where
        result = await second.try_exchange(request, method, data, False, limit)
        second.close()
        self.count("repeat at " + where, second, request, result, since)

    def choose_vm(self):
        play = self.play
        others = [n for n in range(play.options.entries) if n != self.number]
        where = play.random.choice(["same VM", "other VM", "VM that is not cut off"])
        if where == "same VM":
            return where, self.number
        if where == "other VM":
            return where, play.random.choice(others)
        free = [n for n in others if play.site.entries[n]["ip"] not in play.cuts.sources]
        return where, play.random.choice(free or others)

    def count(self, what, attempt, request, result, since):
        play = self.play
        node = play.site.entries[attempt.number]
        cut = play.cuts.touches(node["ip"], since, asyncio.get_running_loop().time())
        by = attempt.served_by
        hops = "no answer of a target" if by is None else (
            "one hop" if by == node["ip"] else "two hops")
        play.table[what, "cut" if cut else "not cut", hops, result] += 1
        if result.startswith("unanswered"):
            ran = sum(1 for run in play.runs.get(request, []))
            play.unanswered[node["name"], "cut" if cut else "not cut", what, f"{ran} runs"] += 1


class Play(extra_answers.Play):
    ENGINE, SHOP, CALLER = Engine, Shop, Caller

    def __init__(self, options, record):
        self.cuts = cut_links.Cuts(self)
        self.twice = {}
        self.used_stamps = set()
        self.table = collections.Counter()
        self.unanswered = collections.Counter()
        super().__init__(options, record)
        cut_links.use_addresses(self.site)

    async def load(self):
        until = asyncio.get_running_loop().time() + self.options.seconds
        cuts = asyncio.create_task(
            asyncio.sleep(0) if self.options.modes == "none" else self.cuts.run(until))
        try:
            await super().load()
            await cuts
        finally:
            cuts.cancel()
            self.cuts.end()

    def report(self):
        result = super().report()
        orders = {request: runs for request, runs in self.runs.items()
                  if runs[0]["kind"] == "order" and len(runs) > 1}
        result["orders_run_twice"] = sum(
            1 for request, runs in orders.items()
            if len(runs) > (2 if request in self.twice else 1))
        for request, runs in orders.items():
            self.record.write("order with several runs", request=request,
                              repeated=self.twice.get(request, "not"),
                              runs=[(run["server"], run["vm"], run["status"]) for run in runs])
        result["orders_run_for_each_repeat"] = sum(
            1 for request, runs in orders.items() if request in self.twice and len(runs) == 2)
        result["requests_repeated"] = len(self.twice)
        result["cuts"] = self.cuts.modes
        result["answers_by_hops"] = dict(collections.Counter(
            {hops: sum(n for key, n in self.table.items() if key[2] == hops)
             for hops in ("one hop", "two hops", "no answer of a target")}))
        result["unanswered"] = {", ".join(key): n for key, n in sorted(self.unanswered.items())}
        result["table"] = {", ".join(key): n for key, n in sorted(self.table.items())}
        return result


def options():
    parser = extra_answers.parser()
    parser.set_defaults(entries=4, broken_off=0.3)
    parser.add_argument("--repeats", type=float, default=0.15)
    parser.add_argument("--modes", default="all", help="such as hang-hang,hang-reset, or none")
    parser.add_argument("--cut-vms", type=int, default=0, help="VMs of each cut; 0 for any number")
    parser.add_argument("--widen", action="store_true",
                        help="cut off one more VM after 1.5 s, which may serve for the others")
    return parser.parse_args()


if __name__ == "__main__":
    extra_callers.PATIENCE_S = 4.0
    sys.exit(asyncio.run(extra_answers.main(Play, options())))
