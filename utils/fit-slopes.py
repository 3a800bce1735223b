#!/usr/bin/env python3
"""Fits a straight line through each benchmark that varies one size and prints the table that docs/CAPACITY.md quotes.

Usage: build/benchmarks/slopes --benchmark_format=json | utils/fit-slopes.py
"""
import json
import sys


def fit(points):
    """Returns the intercept and slope of the least-squares line through (size, nanoseconds) pairs."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def main():
    families = {}
    for run in json.load(sys.stdin)["benchmarks"]:
        parts = [part for part in run["name"].split("/") if not part.startswith("iterations")]
        sizes = [int(part) for part in parts[1:] if part.isdigit()]
        key = parts[0] + "".join(f" ({size})" for size in sizes[1:])
        families.setdefault(key, []).append((sizes[0] if sizes else 0, run))
    print("| benchmark | sizes | time at the largest | slope for each one more | at the largest |")
    print("|---|---|---|---|---|")
    hidden = {"name", "family_index", "per_family_instance_index", "run_name", "run_type", "repetitions",
              "repetition_index", "threads", "iterations", "real_time", "cpu_time", "time_unit", "items_per_second"}
    for name, runs in families.items():
        runs.sort(key=lambda item: item[0])
        _, slope = fit([(size, run["cpu_time"]) for size, run in runs])
        size, last = runs[-1]
        extras = ", ".join(f"{key} {value:.0f}" for key, value in last.items() if key not in hidden)
        sizes = ", ".join(str(size) for size, _ in runs) if size else "-"
        slope_text = f"{slope:.3g} ns" if len(runs) > 1 else "-"
        print(f"| {name} | {sizes} | {last['cpu_time']:.0f} ns | {slope_text} | {extras} |")


if __name__ == "__main__":
    main()
