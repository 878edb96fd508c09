"""Scenarios in which machines, data centres and the store fail: which requests fail, for how long."""

import json
import threading
import time

from processes import boot_milliseconds, call
from reports import check_table, not_whole, reasons_table, span_quantiles, timeline
from tables import Section, Table

# Few keys, so that each gets enough requests to show the times without service.
KEYS = 60
MIXED_KEYS = 24


def keyed_flags(fleet, rate, duration_s, **overrides):
    flags = {"services": f"{fleet.deployment.keyed_service()}:keyed:1", "rate": rate,
             "duration_s": duration_s, "keys": KEYS, "window_ms": 250, "seed": 21}
    return {**flags, **overrides}


def mixed_flags(fleet, rate, duration_s, **overrides):
    services = (f"{fleet.deployment.lookup_service()}:lookup:0.7,"
                f"{fleet.deployment.keyed_service()}:keyed:0.3")
    flags = {"services": services, "rate": rate, "duration_s": duration_s,
             "keys": MIXED_KEYS, "window_ms": 500, "seed": 22, "repeat_share": 0.2}
    return {**flags, **overrides}


class ExecutionWatch:
    """Records when the number of executions at some targets last grew."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.last_growth_ms = 0.0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()

    def _watch(self):
        before = None
        while not self.done.wait(0.05):
            texts = [call(node.target_address, "/-/executions")[1] for node in self.nodes]
            now = sum(json.loads(text)["executions"] for text in texts if text)
            if before is not None and now > before:
                self.last_growth_ms = boot_milliseconds()
            before = now

    def stop(self):
        self.done.set()
        self.thread.join()
        return self.last_growth_ms


def sleep_until(report_start_ms, at_s):
    time.sleep(max(0.0, (report_start_ms + at_s * 1000 - boot_milliseconds()) / 1000))


def gap_table(named_reports):
    table = Table(
        "time without service per key",
        ["run", "keys", "keys without service for 500 ms or more", "longest in ms", "not whole"],
    )
    for name, report in named_reports:
        gaps = report["unavailable"]
        table.add(name, gaps["keys"], gaps["over_500_ms"], gaps["longest_ms"], not_whole(report))
    return table


def data_centre_removal(fleet, quick):
    """Takes a data centre out under load and brings it back."""
    out_s, back_s, end_s = (1.5, 3, 5) if quick else (5, 12, 20)
    owner, owned = fleet.main_owner(MIXED_KEYS)
    data_centre = owner.upstream.data_centre
    nodes = [node for node in fleet.nodes.values() if node.upstream.data_centre == data_centre]
    entries = [node.http for node in fleet.nodes.values() if node not in nodes]
    fleet.reset_targets()
    begin = boot_milliseconds()
    load = fleet.start_load("data-centre", mixed_flags(fleet, 400, end_s), entries)
    watch = ExecutionWatch(nodes)
    sleep_until(begin, out_s)
    command_begin_ms = boot_milliseconds()
    fleet.take_out(data_centre)
    applied_ms = boot_milliseconds()
    sleep_until(begin, back_s)
    last_work_ms = watch.stop()
    fleet.bring_back(data_centre)
    back_ms = boot_milliseconds()
    report = fleet.finish_load(load)
    start_ms = report["started_ms"]
    spans = Table("service by span", ["span", "p50 ms", "p99 ms", "sent whole", "late", "refused",
                                      "lost"])
    span_bounds = {"before": (0, applied_ms - start_ms),
                   "out": (applied_ms - start_ms, back_ms - start_ms),
                   "back": (back_ms - start_ms, end_s * 1000)}
    for name, (first, last) in span_bounds.items():
        p50, p99, counts = span_quantiles(report, first, last)
        spans.add(name, p50, p99, counts["whole"], counts["late"], counts["refused"],
                  counts["lost"])
    stopped = Table("end of new work in the data centre",
                    ["until", "ms after the operator's command began"])
    stopped.add("the command returned", applied_ms - command_begin_ms)
    stopped.add("the last execution began there", last_work_ms - command_begin_ms)
    runs = [("data centre out and back", report)]
    intro = (
        f"Mixed load of 400/s (70 per cent lookups) for {end_s} s over the processes outside "
        f"{data_centre}, whose keyed process owns {owned} of the {MIXED_KEYS} keys. The data centre is taken out after {out_s} s by an edit of the rules and "
        f"brought back after {back_s} s. Quantiles of a span are medians over windows of 500 ms."
    )
    plot_marks = [(round((applied_ms - start_ms) / 1000, 2), "out"),
                  (round((back_ms - start_ms) / 1000, 2), "back")]
    return Section("data-centre", "A data centre leaves and returns", intro,
                   [spans, stopped, gap_table(runs), reasons_table(runs), check_table(runs)],
                   timeline("data-centre", "data centre out and back", report, plot_marks))


def owner_lost(fleet, quick):
    """Kills the machine of an owner; then pauses the process of an owner for 3 s."""
    fault_s, end_s = (1, 4) if quick else (3, 10)
    runs = []
    owned_keys = []
    plots = []
    faults = [("owner-killed", "owner killed"), ("owner-paused", "owner paused for 3 s")]
    for seed, (name, title) in enumerate(faults[:1] if quick else faults, 23):
        fleet.reset_targets()
        victim, owned = fleet.main_owner(KEYS)
        owned_keys.append(f"{owned} ({title})")
        entries = [node.http for node in fleet.live() if node is not victim]
        begin = boot_milliseconds()
        load = fleet.start_load(name, keyed_flags(fleet, 600, end_s, seed=seed), entries)
        sleep_until(begin, fault_s)
        fault_ms = boot_milliseconds()
        if name == "owner-killed":
            fleet.kill_instance(victim.name)
        else:
            victim.daemon.freeze()
            time.sleep(3)
            victim.daemon.resume()
        report = fleet.finish_load(load)
        runs.append((title, report))
        mark = round((fault_ms - report["started_ms"]) / 1000, 2)
        plots += timeline(name, title, report, [(mark, "fault")])
        if name == "owner-killed":
            fleet.start_target(victim.name, *fleet.target_flags)
            fleet.start_daemon(victim.name)
        if name == "owner-killed" and not quick:
            fleet.wait_ready()
    intro = (
        f"Keyed load of 600/s over {KEYS} keys for {end_s} s, half of it writes, over the "
        f"processes of the other machines. The lost owner has {', '.join(owned_keys)} of the keys. "
        "The time without service of a key is the longest wait "
        "from a planned request to the first whole answer to that or a later request. The targets "
        "of a killed machine cannot be read, so that writes found nowhere may have run there."
    )
    return Section("owner-lost", "An owner is lost or paused", intro,
                   [gap_table(runs), reasons_table(runs), check_table(runs)], plots)


def store_outage(fleet, quick):
    """Lets the store refuse connections and kills the machine of an owner meanwhile."""
    out_s, kill_s, back_s, end_s = (0.5, 1.5, 3.5, 5) if quick else (3, 8, 14, 18)
    victim, owned = fleet.main_owner(KEYS)
    entries = [node.http for node in fleet.live() if node is not victim]
    fleet.reset_targets()
    begin = boot_milliseconds()
    load = fleet.start_load("store-outage", keyed_flags(fleet, 600, end_s), entries)
    sleep_until(begin, out_s)
    fleet.platform_faults(outage="refuse")
    sleep_until(begin, kill_s)
    killed_ms = boot_milliseconds()
    fleet.kill_instance(victim.name)
    sleep_until(begin, back_s)
    fleet.platform_faults(outage="none")
    report = fleet.finish_load(load)
    if quick:  # The next scenario uses the same deployment.
        fleet.start_target(victim.name, *fleet.target_flags)
        fleet.start_daemon(victim.name)
        fleet.wait_ready()
    runs = [("store outage, owner killed within it", report)]
    start_ms = report["started_ms"]
    spans = Table("service by span", ["span", "p50 ms", "p99 ms", "whole", "refused", "lost"])
    kill_at = killed_ms - start_ms
    span_bounds = {"before the outage": (0, out_s * 1000), "outage": (out_s * 1000, kill_at),
                   "outage, owner killed": (kill_at, back_s * 1000),
                   "after": (back_s * 1000, end_s * 1000)}
    for name, (first, last) in span_bounds.items():
        p50, p99, counts = span_quantiles(report, first, last)
        spans.add(name, p50, p99, counts["whole"], counts["refused"], counts["lost"])
    intro = (
        f"Keyed load of 600/s over {KEYS} keys for {end_s} s. The store refuses connections from "
        f"{out_s} s to {back_s} s, and the machine of the owner of {owned} of the keys is killed at "
        f"{kill_s} s."
    )
    marks = [(out_s, "store out"), (kill_s, "owner killed"), (back_s, "store back")]
    return Section("store-outage", "The store is out while an owner is lost", intro,
                   [spans, gap_table(runs), reasons_table(runs), check_table(runs)],
                   timeline("store-outage", "store out, owner killed within it", report, marks))
