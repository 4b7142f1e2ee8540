#!/usr/bin/env python3
"""Switches mechanisms off one by one in scratch copies of the repository and plays days on each.

Nothing of the product is changed: edits from `mechanisms.toml` go into clones under SCRATCH.
What each run measured stays in the clones' journal/, from which `table.py` makes its tables;
`--keep` copies the entries into this repository's journal.
"""

import argparse
import os
import pathlib
import queue
import shutil
import subprocess
import threading
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[2]


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the program that plays days")
    parser.add_argument("--sites", required=True, help="folder to which the sites of a plan are relative")
    parser.add_argument("--scratch", required=True, help="folder for the clones")
    parser.add_argument("--plan", required=True, help="file with a run a line: SITE DAY [SEED]")
    parser.add_argument("--only", nargs="*", help="names of mechanisms; `none` changes nothing")
    parser.add_argument("--workers", type=int, default=4, help="clones that work side by side")
    parser.add_argument("--inner", type=int, default=2, help="runs side by side in a clone")
    parser.add_argument("--keep", action="store_true", help="copy the journal entries here")
    return parser.parse_args()


def clone(folder):
    """A clone with this repository's build, so that only changed packages are built."""
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
        shutil.rmtree(folder / "journal")
        (folder / "journal").mkdir()
        built = ROOT / "target" / "release"
        subprocess.run(["mkdir", "-p", str(folder / "target")], check=True)
        subprocess.run(["cp", "-a", str(built), str(folder / "target")], check=True)
    subprocess.run(["git", "checkout", "-q", "--", "."], cwd=folder, check=False)


def edit(folder, mechanism):
    for path, old, new in mechanism["edits"]:
        file = folder / path
        text = file.read_text()
        if text.count(old) != 1:
            raise SystemExit(f"{mechanism['name']}: {text.count(old)} times in {path}: {old}")
        file.write_text(text.replace(old, new))


def build(folder):
    command = ["cargo", "build", "-q", "--release", "--locked", "-p", "medlarspur-daemon"]
    environment = {**os.environ, "CARGO_BUILD_JOBS": "2"}
    subprocess.run(command, cwd=folder, check=True, env=environment, stderr=subprocess.DEVNULL)


def play(options, folder, name, run):
    site, day, *seed = run.split()
    path = str(pathlib.Path(options.sites) / site)
    command = [options.bench, "run", path, day, "--no-cpu", "--why", f"trial: without {name}"]
    if seed:
        command += ["--seed", seed[0]]
    subprocess.run(command, cwd=folder, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def play_all(options, folder, name, runs):
    todo = queue.Queue()
    for run in runs:
        todo.put(run)

    def work():
        while True:
            try:
                run = todo.get_nowait()
            except queue.Empty:
                return
            play(options, folder, name, run)

    threads = [threading.Thread(target=work) for _ in range(options.inner)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main():
    options = arguments()
    options.bench = str(pathlib.Path(options.bench).resolve())
    options.sites = str(pathlib.Path(options.sites).resolve())
    known = tomllib.loads((HERE / "mechanisms.toml").read_text())["mechanism"]
    known = [it for it in known if "until" not in it]
    known.insert(0, {"name": "none", "edits": []})
    chosen = [it for it in known if not options.only or it["name"] in options.only]
    plan = pathlib.Path(options.plan).read_text().splitlines()
    runs = [line for line in plan if line and not line.startswith("#")]
    todo = queue.Queue()
    for mechanism in chosen:
        todo.put(mechanism)

    def work(number):
        folder = pathlib.Path(options.scratch) / f"clone-{number}"
        while True:
            try:
                mechanism = todo.get_nowait()
            except queue.Empty:
                return
            name = mechanism["name"]
            clone(folder)
            edit(folder, mechanism)
            try:
                build(folder)
            except subprocess.CalledProcessError:
                print(f"{name}: does not build", flush=True)
                continue
            play_all(options, folder, name, runs)
            print(f"{name}: played", flush=True)
            if options.keep:
                shutil.copytree(folder / "journal", ROOT / "journal", dirs_exist_ok=True)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(options.workers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
