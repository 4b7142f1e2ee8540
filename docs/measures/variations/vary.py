#!/usr/bin/env python3
"""Writes copies of a site file in which one thing differs, to see what decisions depend on it.

vary.py SITE FOLDER writes FOLDER/NAME.toml for each variation; `--list` only lists them.
"""

import argparse
import pathlib
import re

# Name, what differs, and the texts that are replaced, as regular expressions.
VARIATIONS = [
    ("as-is", "nothing", []),
    ("slots-1", "targets of one slot, three times as many", [(r"slots = \d+", "slots = 1"), (r"(servers = \[.*?\])", "TRIPLE")]),
    ("slots-one", "targets of one slot, as many", [(r"slots = \d+", "slots = 1")]),
    ("slots-6", "targets of six slots, half as many", [(r"slots = \d+", "slots = 6"), (r"(servers = \[.*?\])", "HALF")]),
    ("queue-4", "targets queue four", [(r"queue = \d+", "queue = 4")]),
    ("queue-40", "targets queue forty", [(r"queue = \d+", "queue = 40")]),
    ("tail", "one request in 20 takes six times as long", [(r"(work_ms = \{ mean = [\d.]+, spread = [\d.]+), tail = 0\.0, tail_x = 1\.0, max = ([\d.]+)", r"\1, tail = 0.05, tail_x = 6.0, max = 2000.0")]),
    ("far-8", "8 ms between failure domains", [(r"cross_zone_ms = [\d.]+", "cross_zone_ms = 8.0")]),
    ("callers-30", "30 ms to callers", [(r"client_ms = [\d.]+", "client_ms = 30.0")]),
    ("core-half", "half the processor share", [(r"cpu_share = ([\d.]+)", "HALVED")]),
    ("hash-mod", "routers that move nearly all flows", [(r'hash = "steady"', 'hash = "mod"')]),
    ("requests-7", "mostly requests", [(r"= 7, ([\w-]+) = 2,", r"= 2, \1 = 5,")]),
    ("requests-05", "hardly any requests", [(r"= 7, ([\w-]+) = 2,", r"= 9, \1 = 0.4,")]),
    ("users-10", "three times as many callers, each of whom asks less", [(r"users = 3", "users = 10")]),
    ("users-1", "a third of the callers, each of whom asks more", [(r"users = 3", "users = 1")]),
    ("connections-40", "40 connections a target", [(r"conn_cap = \d+", "conn_cap = 40")]),
    ("cold-4-a-second", "slow targets that bear 4 requests a second", [(r"cold_s = ([\d.]+),", r"cold_s = \1, cold_per_s = 4.0,")]),
    ("cold-12", "the same, slow for 12 s", [(r"cold_s = [\d.]+,", "cold_s = 12.0, cold_per_s = 4.0,")]),
    ("cold-6", "targets that are slow for 6 s after their start", [(r"cold_s = [\d.]+, cold_x = [\d.]+", "cold_s = 6.0, cold_x = 3.0")]),
]


def scaled(text, factor):
    return re.sub(r"count = (\d+)", lambda it: f"count = {max(1, round(int(it[1]) * factor))}", text)


def varied(text, edits):
    for pattern, new in edits:
        if new == "TRIPLE":
            text = re.sub(pattern, lambda it: scaled(it[0], 3), text)
        elif new == "HALF":
            text = re.sub(pattern, lambda it: scaled(it[0], 0.5), text)
        elif new == "HALVED":
            text = re.sub(pattern, lambda it: f"cpu_share = {float(it[1]) / 2:.4f}", text)
        else:
            text, count = re.subn(pattern, new, text)
            if not count:
                raise SystemExit(f"{pattern} is not in the site")
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", nargs="?")
    parser.add_argument("folder", nargs="?")
    parser.add_argument("--list", action="store_true")
    options = parser.parse_args()
    if options.list:
        for name, what, _ in VARIATIONS:
            print(f"{name:16} {what}")
        return
    text = pathlib.Path(options.site).read_text()
    site = re.search(r'^name = "([^"]+)"', text, re.M)[1]
    for name, _, edits in VARIATIONS:
        missing = [pattern for pattern, _ in edits if not re.search(pattern, text)]
        if missing:
            print(f"{name}: left out, the site has no {missing[0]}")
            continue
        copy = varied(text, edits).replace(f'name = "{site}"', f'name = "{site}-{name}"', 1)
        (pathlib.Path(options.folder) / f"{site}-{name}.toml").write_text(copy)


if __name__ == "__main__":
    main()
