"""Reads the reports of the load stand-in."""

from tables import Plot, Series, Table

OUTCOMES = [
    "whole", "late", "refused", "lost", "truncated", "crossed", "unexpected_status", "unreachable",
]


def not_whole(report):
    """Counts of all outcomes but whole ones, as a short text."""
    parts = [f"{name} {report['outcomes'][name]}" for name in OUTCOMES[1:]]
    return ", ".join(part for part in parts if not part.endswith(" 0")) or "none"


def goodput(report):
    """Requests answered whole and in time, per second."""
    return report["outcomes"]["whole"] / (report["duration_ms"] / 1000)


def window_p99(report, first_ms, last_ms):
    """Largest p99 of the windows within a span of time, in milliseconds."""
    values = [
        window["latency"]["p99_ms"]
        for window in report["windows"]
        if first_ms <= window["from_ms"] < last_ms and window["latency"]["count"] > 0
    ]
    return max(values, default=0.0)


def span_quantiles(report, first_ms, last_ms):
    """Medians of the windows' p50 and p99 within a span, and the span's outcome counts."""
    chosen = [w for w in report["windows"] if first_ms <= w["from_ms"] < last_ms]
    p50 = sorted(w["latency"]["p50_ms"] for w in chosen)
    p99 = sorted(w["latency"]["p99_ms"] for w in chosen)
    counts = {name: sum(w[name] for w in chosen) for name in OUTCOMES}
    middle = len(chosen) // 2
    if not chosen:
        return 0.0, 0.0, counts
    return p50[middle], p99[middle], counts


def check_table(named_reports):
    """Counts that must be zero, per run."""
    table = Table(
        "what must be zero",
        ["run", "sent", "run twice", "said not run but ran", "crossed", "truncated",
         "whole but not found", "targets not read"],
    )
    for name, report in named_reports:
        check = report["executions"]
        table.add(name, report["sent"], check["doubles"], check["false_not_run"],
                  report["outcomes"]["crossed"], report["outcomes"]["truncated"],
                  check["whole_but_not_found"], check["targets_unread"])
    return table


def reasons_table(named_reports):
    table = Table("reasons of refusals", ["run", "reason", "requests"])
    for name, report in named_reports:
        for reason, count in sorted(report["reasons"].items()):
            table.add(name, reason, count)
    return table


def timeline(name, title, report, marks):
    """Plot of p50 and p99 and of the answers per second over time."""
    seconds = [(w["from_ms"] / 1000, w) for w in report["windows"]]
    width_s = seconds[1][0] - seconds[0][0] if len(seconds) > 1 else 1
    return [
        Plot(f"{name}-latency", title, "time in s", "latency in ms",
             [Series("p50", [(t, w["latency"]["p50_ms"]) for t, w in seconds]),
              Series("p99", [(t, w["latency"]["p99_ms"]) for t, w in seconds])],
             marks=marks),
        Plot(f"{name}-outcomes", title, "time in s", "requests/s",
             [Series("whole", [(t, w["whole"] / width_s) for t, w in seconds]),
              Series("refused", [(t, w["refused"] / width_s) for t, w in seconds]),
              Series("lost or late", [(t, (w["lost"] + w["late"]) / width_s) for t, w in seconds])],
             marks=marks),
    ]
