"""Steady load, overload, failing targets and cold starts."""

import json
import time

from failure_runs import mixed_flags, sleep_until
from processes import boot_milliseconds, call
from reports import check_table, goodput, not_whole, reasons_table, timeline
from tables import Section, Table

BASE_SERVICE_MS = 20
TARGET_FLAGS = [f"--service_ms={BASE_SERVICE_MS}", "--shape=lognormal"]
OVERLOAD_SERVICE_MS = 100
SLOTS = 12


def idle_cost(fleet, quick):
    """Measures processor time and memory of a process without requests and under a steady load."""
    run_s = 2 if quick else 6
    before = fleet.daemon_cpu_seconds()
    time.sleep(run_s)
    after = fleet.daemon_cpu_seconds()
    idle = [100 * (after[name] - before[name]) / run_s for name in before]
    memory = [node.daemon.resident_megabytes() for node in fleet.live()]
    stats = fleet.platform_stats()
    fleet.reset_targets()
    before = fleet.daemon_cpu_seconds()
    report = fleet.run_load("steady", mixed_flags(fleet, 500, run_s, seed=20))
    after = fleet.daemon_cpu_seconds()
    used = sum(after[name] - before[name] for name in before)
    cost = Table("cost of a process", ["figure", "mean", "largest"])
    cost.add("idle, per cent of a core", sum(idle) / len(idle), max(idle))
    cost.add("resident memory in MB", sum(memory) / len(memory), max(memory))
    idle_seconds = sum(idle) / 100 * run_s
    cost.add("processor time per request in µs, all processes",
             1e6 * max(0.0, used - idle_seconds) / report["sent"], "")
    store = Table("the store", ["kind", "total", "largest in one second"])
    for kind in ("reads", "writes", "conflicts"):
        store.add(kind, stats[kind]["total"], stats[kind]["largest_second"])
    latency = Table("steady load", ["service", "answered", "p50 ms", "p99 ms", "p99.9 ms",
                                    "not whole"])
    for name, result in report["services"].items():
        latency.add(name, result["count"], result["p50_ms"], result["p99_ms"], result["p999_ms"],
                    not_whole(report))
    runs = [("steady", report)]
    intro = (
        f"{len(fleet.live())} processes idle for {run_s} s, then {run_s} s of a mixed load of "
        "500/s; a fifth of the writes with an idempotency key are sent twice within 100 ms. The "
        "store's counts include the start of the whole deployment."
    )
    return Section("steady", "Idle and under a steady load", intro,
                   [cost, latency, store, check_table(runs)])


def overload(fleet, quick):
    """Applies twice and five times the capacity of the targets."""
    run_s = 2 if quick else 5
    names = [fleet.deployment.lookup_service(), fleet.deployment.keyed_service()]
    kinds = ["lookup"] if quick else ["lookup", "keyed"]
    table = Table(
        "goodput",
        ["load", "offered/s", "whole in time/s", "per cent of full load", "p99 of answered in ms",
         "not whole"],
    )
    runs = []
    fleet.restart_targets(f"--service_ms={OVERLOAD_SERVICE_MS}", "--shape=lognormal")
    for kind in kinds:
        service = names[0 if kind == "lookup" else 1]
        upstreams = len(fleet.deployment.upstreams_of_kind(kind))
        capacity = upstreams * SLOTS * 1000 / OVERLOAD_SERVICE_MS
        full = None
        flags = {"services": f"{service}:{kind}:1", "rate": capacity * 0.9, "duration_s": run_s,
                 "keys": 2000, "deadline_ms": 1000}
        # Raises the concurrency limits, which grow with the demand; this run is not in the table.
        fleet.run_load(f"overload-{kind}-rise", {**flags, "seed": 30})
        for factor in (0.9, 5) if quick else (0.9, 2, 5):
            fleet.reset_targets()
            flags = {**flags, "rate": capacity * factor, "seed": 31 + len(runs)}
            report = fleet.run_load(f"overload-{kind}-{factor}", flags)
            full = full or goodput(report)
            label = f"{kind}, {factor}x capacity"
            result = report["services"][service]
            table.add(label, capacity * factor, goodput(report), 100 * goodput(report) / full,
                      result["p99_ms"], not_whole(report))
            runs.append((label, report))
    fleet.restart_targets(*TARGET_FLAGS)
    fleet.warm_up(run_s)
    intro = (
        f"Targets of {SLOTS} slots and {OVERLOAD_SERVICE_MS} ms mean service time, "
        f"deadline 1000 ms, {run_s} s a step. Full load is the goodput at 0.9 of the capacity."
    )
    return Section("overload", "Overload", intro,
                   [table, reasons_table(runs), check_table(runs)])


def all_failing(fleet, quick):
    """Lets all targets of the lookup service shed every request, then freezes them all."""
    run_s = 1.5 if quick else 5
    nodes = [fleet.nodes[up.name] for up in fleet.deployment.upstreams_of_kind("lookup")]
    table = Table("amplification", ["fault", "requests", "attempts at targets",
                                    "attempts per request", "not whole"])
    runs = []
    for name, faults, no_faults in (("all shed", {"shed": 1.0}, {"shed": 0.0}),
                                    ("all frozen", {"freeze": True}, {"freeze": False})):
        fleet.reset_targets()
        for node in nodes:
            node.target_faults(**faults)
        report = fleet.run_load(
            f"all-failing-{name.split()[1]}",
            {"services": f"{fleet.deployment.lookup_service()}:lookup:1", "rate": 500,
             "duration_s": run_s, "seed": 41, "deadline_ms": 500},
        )
        for node in nodes:
            node.target_faults(**no_faults)
        attempts = sum(arrivals(node) for node in nodes)
        table.add(name, report["sent"], attempts, attempts / report["sent"], not_whole(report))
        runs.append((name, report))
        time.sleep(1 if quick else 2)
    intro = (
        f"Lookups at 500/s for {run_s} s while every target refuses each request as not run, and "
        "while every target is frozen (deadline 500 ms). Attempts are counted by the targets."
    )
    return Section("all-failing", "All targets fail", intro, [table, reasons_table(runs)])


def arrivals(node):
    return json.loads(call(node.target_address, "/-/executions")[1])["arrivals"]


def cold_start(fleet, quick):
    """Restarts two targets cold under load; later the first of them turns cold again under the same boot id."""
    end_s = 5 if quick else 15
    cold_flags = ["--cold_requests=300", "--cold_factor=4", "--cold_bearable=3"]
    names = [up.name for up in fleet.deployment.upstreams_of_kind("lookup")]
    fleet.reset_targets()
    begin = boot_milliseconds()
    flags = {"services": f"{fleet.deployment.lookup_service()}:lookup:1", "rate": 900,
             "duration_s": end_s, "seed": 51, "window_ms": 500}
    load = fleet.start_load("cold-start", flags)
    sleep_until(begin, end_s / 5)
    restarted = names[:2]
    for name in restarted:
        fleet.nodes[name].target.kill()
        fleet.start_target(name, *fleet.target_flags, *cold_flags)
    sleep_until(begin, end_s * 3 / 5)
    turned_cold_s = end_s * 3 / 5
    fleet.nodes[names[0]].target_faults(turn_cold=True)
    report = fleet.finish_load(load)
    table = Table("what the cold targets got",
                  ["target", "runs", "starts above the bearable", "largest at once while cold",
                   "still cold at the end"])
    for name in restarted:
        result = json.loads(call(fleet.nodes[name].target_address, "/-/executions")[1])
        table.add(name, result["executions"], result["cold_overloads"], result["largest_while_cold"],
                  str(result["cold"]).lower())
    runs = [("cold start", report)]
    outcome = Table("callers", ["sent", "not whole", "p50 ms", "p99 ms"])
    result = next(iter(report["services"].values()))
    outcome.add(report["sent"], not_whole(report), result["p50_ms"], result["p99_ms"])
    intro = (
        f"Lookups at 900/s for {end_s} s on 9 targets of {BASE_SERVICE_MS} ms. Two targets crash "
        f"after {end_s / 5:g} s and are started again at once: cold for their first 300 requests, "
        "4 times as slow, bearing 3 requests at once (more make the times grow with the square "
        f"of the excess). After {turned_cold_s:g} s the first one turns cold again under the same "
        "boot id."
    )
    marks = [(end_s / 5, "restarted"), (turned_cold_s, "turned cold")]
    return Section("cold-start", "Cold starts", intro,
                   [table, outcome, reasons_table(runs), check_table(runs)],
                   timeline("cold-start", "two targets start cold", report, marks))
