#!/usr/bin/env python3
"""Where a day of the users' bench loses credit, by window, and how much of the closing outage no balancer can avoid.

  window-losses.py OUTPUT...      OUTPUT: what `fleetbench run` printed for one day

Prints the windows below 0.98 of their credit, and for a closing fault the credit lost around it beside its floor. The floor
counts, for the mean load before the fault, the requests sent until the first instance can serve again: those whose last
retransmission comes before that fail, the others are late. It takes the fault's own duration and the processes' restart as
given (`--restart`, seconds until routes are in force after the machines are back), callers that retransmit after 0.2, 0.6 and
1.4 s, and each class's deadline and worth when late; requests in progress and the queue after the outage are not in it.
"""
import argparse
import re

RETRANSMISSIONS_S = (0.0, 0.2, 0.6, 1.4)
WINDOW_S = 2.0


def windows(text):
    """Returns rows of (second, asked, late, refused, failed, share of the credit)."""
    table = re.search(r"^from second.*?\n(.*?)\n\n", text, re.M | re.S)
    rows = []
    for line in table[1].splitlines() if table else []:
        cells = line.split()
        rows.append((float(cells[0]), int(cells[1]), int(cells[3]), int(cells[4]), int(cells[5]), float(cells[7])))
    return rows


def lost_of_request(sent_s, back_s, aim_s, deadline_s, late_share):
    """Returns the credit that a request loses that was sent `sent_s` into an outage that ends after `back_s`."""
    for delay in RETRANSMISSIONS_S:
        if sent_s + delay >= back_s:
            if delay >= deadline_s:
                return 1.0
            return 0.0 if delay < aim_s else 1.0 - late_share
    return 1.0


def floor(per_s, back_s, aim_s, deadline_s, late_share, steps=400):
    """Returns the credit lost by all requests sent in an outage, at `per_s` requests a second."""
    total = sum(lost_of_request(back_s * (step + 0.5) / steps, back_s, aim_s, deadline_s, late_share) for step in range(steps))
    return per_s * back_s * total / steps


def report(path, arguments):
    text = open(path).read()
    worth = re.search(r"^worth ([\d.]+) = whole day ([\d.]+)", text, re.M)
    closing = re.search(r"^\s*([\d.]+) s to\s+[\d.]+ s\s+closing \((\w+)", text, re.M)
    rows = windows(text)
    if not worth or not rows:
        raise SystemExit(f"{path}: not the output of a day")
    print(f"{path}: worth {worth[1]}, whole day {worth[2]}")
    for second, asked, late, refused, failed, share in rows:
        if share < 0.98:
            print(f"  from {second:5.0f} s  {share:.3f} of {asked}, late {late}, refused {refused}, failed {failed}")
    if closing is None:
        return
    at = float(closing[1])
    near = [row for row in rows if at - WINDOW_S < row[0] <= at + WINDOW_S]
    lost = sum(asked * (1 - share) for _, asked, _, _, _, share in near)
    before = [row[1] for row in rows if at - 10 < row[0] < at - WINDOW_S]
    least = floor(sum(before) / len(before) / WINDOW_S, arguments.restart + arguments.down, arguments.aim, arguments.deadline,
                  arguments.late)
    elsewhere = sum(asked * (1 - share) for _, asked, _, _, _, share in rows) - lost
    print(f"  {closing[2]} at {at:.1f} s: lost {lost:.0f}, floor {least:.0f}; elsewhere {elsewhere:.0f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("outputs", nargs="+")
    parser.add_argument("--down", type=float, default=0.5, help="seconds until the machines or processes are back")
    parser.add_argument("--restart", type=float, default=0.05, help="seconds from then until routes are in force")
    parser.add_argument("--aim", type=float, default=0.2, help="the latency objective in seconds")
    parser.add_argument("--deadline", type=float, default=1.2, help="the callers' deadline in seconds")
    parser.add_argument("--late", type=float, default=0.3, help="the share of its worth that a late answer earns")
    arguments = parser.parse_args()
    for path in arguments.outputs:
        report(path, arguments)


main()
