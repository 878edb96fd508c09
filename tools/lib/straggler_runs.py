"""Tail latency while some targets are slow, for each balancing policy under the same planned load."""

import json
import subprocess
import time

from processes import FleetError, Process, call
from tables import Plot, Section, Series, Table

SERVICE_FLAGS = ["--service_ms=20", "--shape=lognormal"]
RATE = 300
DEADLINE_MS = 1000
# Indexes of the slowed targets: one with a neighbour in its data centre, one without, and one more.
SLOWED = [0, 5, 7]
KINDS = {
    "3x": {"slowdown": 3},
    "10x": {"slowdown": 10},
    "frozen": {"freeze": True},
    "flapping": {"freeze": True, "flap_on_ms": 200, "flap_period_ms": 1000},
}
NO_FAULTS = {"slowdown": 1, "freeze": False, "flap_on_ms": 0, "flap_period_ms": 0}
POLICIES = [
    ("random", "random", False),
    ("round robin", "round_robin", False),
    ("least requests", "least_requests", False),
    ("two choices", "two_choices", False),
    ("marginal utility", "marginal_utility", False),
    ("scored", "scored", False),
    ("two choices, hedged", "two_choices", True),
    ("scored, hedged", "scored", True),
]


class PolicyTargets:
    """Nine targets that only one policy uses."""

    def __init__(self, fleet, index, policy, hedge):
        self.fleet = fleet
        self.policy = policy
        self.hedge = hedge
        self.processes = []
        first = fleet.base_port + 400 + 20 * index
        self.addresses = [f"127.0.0.1:{first + i}" for i in range(9)]
        for i, address in enumerate(self.addresses):
            log = fleet.out / f"policy{index}.target{i}.log"
            flags = [f"--listen={address}", f"--name=t{i}", f"--seed={i + 1}", *SERVICE_FLAGS]
            process = Process([fleet.programs / "standin_target", *flags], log)
            process.start()
            self.processes.append(process)

    def start_load(self, duration_s, seed):
        command = [
            self.fleet.programs / "standin_balance",
            f"--targets={','.join(self.addresses)}",
            f"--policy={self.policy}",
            f"--hedge={str(self.hedge).lower()}",
            f"--rate={RATE}",
            f"--duration_s={duration_s}",
            f"--deadline_ms={DEADLINE_MS}",
            f"--seed={seed}",
        ]
        return subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.PIPE, text=True
        )

    def stop(self):
        for process in self.processes:
            process.kill()


def set_faults(address, faults):
    status, text = call(address, "/-/faults", "POST", json.dumps(faults))
    if status != 200:
        raise FleetError(f"the target {address} refuses faults: {status} {text}")


def steps(quick):
    if quick:
        return [("none", 0, {}), ("2 of 9, 10x", 2, KINDS["10x"])]
    result = [("none", 0, {})]
    for kind, faults in KINDS.items():
        result += [(f"{count} of 9, {kind}", count, faults) for count in (1, 2, 3)]
    return result


def run_step(fleet, target_sets, name, count, faults, duration_s, seed):
    """Runs the same load on all policies and on the product at the same time; returns a report for each."""
    product_targets = [node.target_address for node in fleet.nodes.values()
                       if node.upstream.service == fleet.deployment.lookup_service()]
    groups = [product_targets] + [targets.addresses for targets in target_sets]
    for addresses in groups:
        for i, address in enumerate(addresses):
            set_faults(address, faults if i in SLOWED[:count] else NO_FAULTS)
    # The settle phase lets each policy detect the changed faults, as it would in operation.
    reports = {}
    for phase, length in (("settle", 1.0), ("measure", duration_s)):
        flags = {"services": f"{fleet.deployment.lookup_service()}:lookup:1", "rate": RATE,
                 "duration_s": length, "deadline_ms": DEADLINE_MS, "seed": seed}
        before = arrivals(product_targets)
        product = fleet.start_load(f"stragglers-{phase}", flags)
        loads = [targets.start_load(length, seed) for targets in target_sets]
        texts = [load.communicate(timeout=60)[0] for load in loads]
        reports = {"bulrushd": fleet.finish_load(product)}
        reports["bulrushd"]["extra"] = (
            (arrivals(product_targets) - before) / reports["bulrushd"]["sent"] - 1
        )
        for (policy_name, _, _), text in zip(selected_policies(len(target_sets)), texts):
            report = json.loads(text)
            report["extra"] = report["hedges"] / report["sent"]
            reports[policy_name] = report
    print(f"  {name}: " + ", ".join(
        f"{policy} {p99(report):.0f} ms" for policy, report in reports.items()), flush=True)
    return reports


def arrivals(addresses):
    total = 0
    for address in addresses:
        total += json.loads(call(address, "/-/executions")[1])["arrivals"]
    return total


def selected_policies(count):
    return POLICIES if count == len(POLICIES) else [POLICIES[0], POLICIES[3], POLICIES[7]]


def latency(report):
    return next(iter(report["services"].values()))["all"]


def p99(report):
    return latency(report)["p99_ms"]


def measure(fleet, quick):
    duration_s = 1.5 if quick else 6.0
    chosen = selected_policies(3 if quick else len(POLICIES))
    target_sets = [PolicyTargets(fleet, i, policy, hedge) for i, (_, policy, hedge) in enumerate(chosen)]
    try:
        time.sleep(0.5)
        results = [
            (name, run_step(fleet, target_sets, name, count, faults, duration_s, 11 + i))
            for i, (name, count, faults) in enumerate(steps(quick))
        ]
    finally:
        for targets in target_sets:
            targets.stop()
        for node in fleet.nodes.values():
            set_faults(node.target_address, NO_FAULTS)
    return report_section(results, duration_s)


def report_section(results, duration_s):
    names = list(results[0][1])
    base = {name: p99(results[0][1][name]) for name in names}
    ratio = Table("p99 as a ratio to the same policy with none slowed", ["slowed", *names])
    quantiles = Table("p50 / p99 / p99.9 in ms", ["slowed", *names])
    failed = Table("requests not answered whole within the deadline, per cent", ["slowed", *names])
    extra = Table("added requests, per cent", ["slowed", *names])
    for step, reports in results:
        ratio.add(step, *[p99(reports[name]) / base[name] for name in names])
        quantiles.add(step, *[
            "{p50_ms:.0f} / {p99_ms:.0f} / {p999_ms:.0f}".format(**latency(reports[name]))
            for name in names
        ])
        failed.add(step, *[
            100 * (1 - reports[name]["outcomes"]["whole"] / reports[name]["sent"])
            for name in names
        ])
        extra.add(step, *[100 * reports[name]["extra"] for name in names])
    lines = [
        Series(name, [(i, p99(reports[name])) for i, (_, reports) in enumerate(results)])
        for name in names
    ]
    plot = Plot("stragglers", "p99 of lookups while targets are slowed", "", "p99 in ms", lines,
                labels=[step for step, _ in results], log_y=True)
    intro = (
        f"Lookups at {RATE}/s for {duration_s:.0f} s a step, 9 targets of 12 slots and 20 ms mean "
        f"service time (lognormal), deadline {DEADLINE_MS} ms, after 1 s of the same load to "
        "settle. Every policy has nine targets of its own, gets the same plan (one seed a step) "
        "and runs at the same time as the others. bulrushd is the whole product: 15 processes, "
        "locality first. The others are the product's policies without the rest, in 5 routers "
        "with views of their own. A request without a whole answer counts "
        "with the deadline."
    )
    return Section("stragglers", "Lookups while targets are stragglers", intro,
                   [ratio, quantiles, failed, extra], [plot])
