#!/usr/bin/env python3
"""Makes a table of what `ablate.py` has played, from journal entries.

A run without a mechanism is compared with the run of the same site, day and seed in which
nothing was switched off.
"""

import argparse
import collections
import json
import pathlib
import re
import statistics

PREFIX = "trial: without "
# Classes that their sites rank first, by the position in the bench's table of classes.
FIRST = 1


def days(folders, head):
    """The days of trial entries: (mechanism, (site, day, seed)) -> figures."""
    found = {}
    for folder in folders:
        for file in pathlib.Path(folder).glob("*.json"):
            text = file.read_text()
            if PREFIX not in text:
                continue
            entry = json.loads(text)
            if not entry["why"].startswith(PREFIX) or not entry["days"]:
                continue
            if head and not entry["head"].startswith(head):
                continue
            name = entry["why"].removeprefix(PREFIX)
            day = entry["days"][0]
            seed = re.search(r"--seed (\d+)", " ".join(map(str, entry["argv"])))
            key = (entry["site"], day["name"], seed[1] if seed else "")
            found[name, key] = figures(entry, day)
    return found


def figures(entry, day):
    table = entry["digest"].split("class  ", 1)[-1].split("clients' zone")[0]
    rows = [row.split() for row in table.splitlines()[1:] if row.strip()]
    asked, in_time = (int(rows[FIRST][1]), int(rows[FIRST][2])) if len(rows) > FIRST else (0, 0)
    return {
        "worth": day["G"],
        "asked": asked,
        "in_time": in_time,
        "rules": sum(day["rules"].values()) if day["rules"] else 0,
        "broken": day["rules"],
        "probes": price(day, "probes"),
        "calls": price(day, "cloud calls"),
    }


def price(day, name):
    return next((row[1] for row in day["prices"] if row[0].startswith(name)), 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("journal", nargs="+", help="folders with entries")
    parser.add_argument("--sites", nargs="*", help="only these sites")
    parser.add_argument("--head", help="only runs on this commit")
    parser.add_argument("--days", action="store_true", help="a line for each day that differs")
    options = parser.parse_args()
    found = days(options.journal, options.head)
    names = list(dict.fromkeys(name for name, _ in found))
    print(f"{'without':16} {'runs':>4} {'worth':>6} {'with':>6} {'diff':>7} {'worst':>7} {'best':>7}"
          f" {'first':>6} {'with':>6} {'asks':>6} {'calls':>6}  rules")
    for name in sorted(names):
        if name == "none":
            continue
        pairs = []
        for (other, key), mine in found.items():
            site = key[0]
            if other != name or options.sites and site not in options.sites:
                continue
            if base := found.get(("none", key)):
                pairs.append((key, mine, base))
        if not pairs:
            continue
        diffs = [mine["worth"] - base["worth"] for _, mine, base in pairs]
        first = [sum(it["in_time"] for it in side) / max(1, sum(it["asked"] for it in side))
                 for side in ([m for _, m, _ in pairs], [b for _, _, b in pairs])]
        ratio = lambda field: sum(m[field] for _, m, _ in pairs) / max(1, sum(b[field] for _, _, b in pairs))
        broken = collections.Counter()
        for _, mine, _ in pairs:
            broken.update(mine["broken"] or {})
        print(f"{name:16} {len(pairs):4} {statistics.mean(m['worth'] for _, m, _ in pairs):6.3f}"
              f" {statistics.mean(b['worth'] for _, _, b in pairs):6.3f} {statistics.mean(diffs):+7.4f}"
              f" {min(diffs):+7.3f} {max(diffs):+7.3f} {first[0]:6.3f} {first[1]:6.3f}"
              f" {ratio('probes'):6.2f} {ratio('calls'):6.2f}  {dict(broken) or ''}")
        if options.days:
            for (site, day, seed), mine, base in pairs:
                part = [it["in_time"] / max(1, it["asked"]) for it in (base, mine)]
                if abs(mine["worth"] - base["worth"]) >= 0.004 or abs(part[1] - part[0]) >= 0.02:
                    print(f"    {site} {day} {seed}: {base['worth']:.3f} -> {mine['worth']:.3f},"
                          f" first-ranked in time {part[0]:.3f} -> {part[1]:.3f}")


if __name__ == "__main__":
    main()
