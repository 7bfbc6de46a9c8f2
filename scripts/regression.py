#!/usr/bin/env python3
"""Plays the sites of bench/regression.json and compares the results with those recorded there.

    scripts/regression.py BENCH SITES_DIR WHY [--only TEXT] [--jobs N] [--update]

A site is reported as FALLEN if its gate is not passed, or if the mean worth of its days with trouble
is more than `allowed_fall` below the recorded one; single runs of the same source differ by about as
much. With --update the new figures replace the recorded ones; the commit should say why.
"""

import argparse
import json
import pathlib
import re
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES = ROOT / "bench" / "regression.json"
# A row of the table of days: name, own machines / targets, score, worth.
DAY = re.compile(r"^(\S+-\S+)\s+\d+/\d+\s+\S+\s+(-?[\d.]+)", re.M)


def play(bench, site, why, jobs):
    command = [bench, "score", str(site), "--jobs", str(jobs), "--why", why]
    out = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout
    days = {name: float(worth) for name, worth in DAY.findall(out) if not name.startswith("fresh")}

    return days, "GATE passed" in out, out


def trouble_mean(days):
    return statistics.mean(worth for name, worth in days.items() if not name.startswith("quiet"))


def compare(name, days, passed, figures):
    before = trouble_mean(figures["sites"][name])
    after = trouble_mean(days)
    fell = not passed or after < before - figures["allowed_fall"]
    gate = "passed" if passed else "NOT PASSED"
    print(f"{name}: {before:.3f} to {after:.3f}, gate {gate}{', FALLEN' if fell else ''}")

    for day, worth in days.items():
        print(f"  {day:12} {figures['sites'][name].get(day, float('nan')):.3f} to {worth:.3f}")

    return fell


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=pathlib.Path)
    parser.add_argument("sites", type=pathlib.Path)
    parser.add_argument("why")
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--update", action="store_true")
    options = parser.parse_args()
    figures = json.loads(FIGURES.read_text())
    fallen = []

    for name in [name for name in figures["sites"] if options.only in name]:
        site = (options.sites / f"{name}.toml").resolve()
        days, passed, out = play(options.bench.resolve(), site, options.why, options.jobs)

        if not days:
            print(f"{name}: no result\n{out}")
            fallen.append(name)
            continue

        if compare(name, days, passed, figures):
            fallen.append(name)

        if options.update:
            figures["sites"][name] = days

    if options.update:
        FIGURES.write_text(json.dumps(figures, indent=2) + "\n")

    sys.exit(1 if fallen else 0)


main()
