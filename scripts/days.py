#!/usr/bin/env python3
"""Plays each kind of trouble of bench/kinds.txt twice in quick succession, and once each combined
with planned work and with an outage of the store.

    scripts/days.py BENCH SITE.toml WHY [--only TEXT] [--partners alone,roll,change,away] [--jobs N]

Generates a copy of the site file that has these days, plays it, and prints the result. The exit
status is 1 if a rule was broken on any day.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Events to combine each kind with, and their start in seconds relative to that of the kind.
PARTNERS = {
    "alone": [],
    "roll": [("plan", 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0', 0.5)],
    "change": [
        ("plan", 'kind = "config_change", how = "route"', 0.8),
        ("plan", 'kind = "revoke", count = 2, gap_s = 0.5', 1.2),
    ],
    "away": [("faults", 'kind = "platform_down", for_s = 4.0, how = "silent lapse"', -0.5)],
}
FIRST_S, AGAIN_S = 6.0, 9.0


def entries(path, names):
    for line in path.read_text().splitlines():
        if line and not line.startswith("#"):
            table, entry = line.split(" ", 1)
            for word, name in names.items():
                entry = entry.replace(word, name)
            yield table, entry


def label(entry):
    words = re.findall(r'(?:kind|how|service) = "([^"]*)"', entry)
    return "-".join(re.sub(r"[^a-z_]+", "_", w) for w in words if w)


def day(number, name, tables):
    listed = {
        table: ",\n  ".join(f"{{ at = {at}, {entry} }}" for t, entry, at in tables if t == table)
        for table in ("plan", "faults")
    }
    return (
        f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {1000 + number}\n'
        f"one = 0.9\nzero = 0.0\ngoal = {{ floor = 0.0 }}\nlabels = []\nwall = 3.0\nlight = false\n"
        f"plan = [ {listed['plan']} ]\nfaults = [ {listed['faults']} ]\n"
    )


def days(site, only, partners):
    services = re.findall(r'\{ name = "([^"]+)"[^\n]*?(llm = )?', site[site.index("services = ["):])
    lines = site[site.index("services = ["):].splitlines()
    model = next(re.search(r'name = "([^"]+)"', l)[1] for l in lines if "llm = {" in l)
    plain = next(n for n, _ in services if n != model and n not in site.split("services = [")[0])
    hall = re.search(r'zones = \[\s*\{ name = "([^"]+)"', site)[1]
    names = {"MODEL": model, "PLAIN": plain, "HALL": hall}
    number = 0
    for table, entry in entries(ROOT / "bench" / "kinds.txt", names):
        if only and only not in entry:
            continue
        twice = [(table, entry, FIRST_S), (table, entry, AGAIN_S)]
        for partner, others in PARTNERS.items():
            if partner not in partners:
                continue
            first = [(table, entry, FIRST_S)] if partner != "alone" else twice
            tables = first + [(t, e, FIRST_S + at) for t, e, at in others]
            number += 1
            yield day(number, f"{number:03}-{label(entry)}+{partner}"[:60], tables)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("why")
    parser.add_argument("--only", default="")
    parser.add_argument("--partners", default=",".join(PARTNERS))
    parser.add_argument("--jobs", default="6")
    args = parser.parse_args()
    site = args.site.read_text()
    head = site[: site.index("[[day]]")]
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / args.site.name
        copy.write_text(head + "\n".join(days(site, args.only, args.partners.split(","))))
        for other in args.site.parent.iterdir():
            if other.suffix in (".json", ".days") or other.name == "CUT":
                (copy.parent / other.name).write_bytes(other.read_bytes())
        command = [args.bench, "score", str(copy), "--jobs", args.jobs, "--why", args.why]
        played = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    print(played.stdout, played.stderr)
    sys.exit("BROKEN" in played.stdout)


if __name__ == "__main__":
    main()
