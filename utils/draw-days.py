#!/usr/bin/env python3
"""Draws days for the users' bench from the list of troubles in a site file: two to five kinds with their moments close together.

  draw-days.py SITE-FILE FOLDER [--days N] [--seed N]

Writes FOLDER/drawn-SEED-N.toml; every other day ends with a final fault. The same seed gives the same days.
"""
import argparse
import pathlib
import random
import re

LENGTH_S = 34.0
FIRST_S, LAST_S = 6.0, 24.0  # when the troubles of a day begin
SPREAD_S = 4.0  # all of them within this time
PLANNED = ("add_nodes", "big_config", "config_change", "config_storm", "release", "roll_term", "scale_in", "scale_out")
FINAL = ('{ kind = "kill_all", down_s = 1.2 }', '{ kind = "power_off_all", down_s = 0.9 }')


def troubles(path):
    """Returns the (kind, entry) pairs of a site's list of troubles."""
    site = open(path).read().split("[[day]]")[0]
    listed = re.search(r"^troubles = \[\n(.*?)^\]", site, re.M | re.S)
    if listed is None:
        raise SystemExit(f"{path}: no list of troubles")
    return [(kind, entry) for entry, kind in re.findall(r'^  \{ (kind = "(\w+)"[^\n]*) \},$', listed[1], re.M)]


def day(name, kinds, draw, has_final_fault):
    start = draw.uniform(FIRST_S, LAST_S)
    entries = {True: [], False: []}
    for kind, entry in draw.sample(kinds, min(draw.randint(2, 5), len(kinds))):
        at = round(start + draw.uniform(0, SPREAD_S), 2)
        entries[kind in PLANNED].append(f"  {{ at = {at}, {entry} }},\n")
    lines = [f'name = "{name}"\n', 'slot = "trouble"\n', f"length_s = {LENGTH_S}\n"]
    if has_final_fault:
        lines.append(f"closing = {draw.choice(FINAL)}\n")
    return "".join(lines + ["plan = [\n", *entries[True], "]\nfaults = [\n", *entries[False], "]\n"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--days", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    kinds = troubles(arguments.site)
    draw = random.Random(arguments.seed)
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for number in range(arguments.days):
        name = f"drawn-{arguments.seed}-{number}"
        (arguments.folder / f"{name}.toml").write_text(day(name, kinds, draw, number % 2 == 1))


main()
