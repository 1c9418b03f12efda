"""What the entry VMs wrote: events by name, and what precedes the lines of the users' records.

DecisionLog writes at most 20 lines of an event a second; `left_out` counts the others.
"""

import collections
import datetime
import json
import os


def lines(site):
    for node in site.entries:
        with open(os.path.join(site.folder, node["name"] + ".log"), encoding="utf-8") as file:
            for line in file:
                try:
                    yield json.loads(line)
                except ValueError:
                    continue


def at(line):
    """Seconds of the line's time, with all its digits of a second."""
    whole, _, part = line["time"].rstrip("Z").partition(".")
    moment = datetime.datetime.fromisoformat(whole + "+00:00")
    return moment.timestamp() + float("0." + (part or "0"))


def summary(site, order):
    events, lost_reasons = collections.Counter(), collections.Counter()
    foreign, lost, gaps = set(), {}, []
    malformed = announced = 0
    for line in lines(site):
        name, request = line.get("event", "?"), line.get("request")
        events[name] += 1 + line.get("left_out", 0)
        if name == "foreign bytes from target":
            foreign.add(request)
        elif name == "answer lost":
            why = line["why"]
            lost_reasons[why.split(":")[0] + (": premature end" if "Premature" in why else "")] += 1
            lost[request] = at(line)
            if why.startswith("malformed response"):
                malformed += 1
                announced += request in foreign
        elif name == "failed" and line["route"] == order and line["status"] == 502 and request in lost:
            # An order is sent once, so no other attempt lies between its two lines.
            gaps.append(1000 * (at(line) - lost[request]))
    gaps.sort()
    return {
        "events": dict(sorted(events.items())),
        "answer lost, by reason": dict(sorted(lost_reasons.items())),
        "malformed answers lost": malformed,
        "of these after foreign bytes": announced,
        "orders: ms from answer lost to 502": [round(gap, 2) for gap in gaps[:5] + gaps[-2:]],
        "of these under 10 ms": sum(1 for gap in gaps if gap < 10),
        "orders with 502": len(gaps),
    }
