"""Tables and plots of a measurement, for the terminal and for the pages under docs/measurements."""

import subprocess
from dataclasses import dataclass, field
from pathlib import Path

PLOT_SIZE = "900,420"


@dataclass
class Table:
    """A titled table of texts and numbers."""

    title: str
    headers: list
    rows: list = field(default_factory=list)

    def add(self, *cells):
        self.rows.append([format_cell(cell) for cell in cells])

    def markdown(self):
        lines = [f"**{self.title}**", "", "| " + " | ".join(self.headers) + " |"]
        lines.append("|" + " --- |" * len(self.headers))
        lines += ["| " + " | ".join(row) + " |" for row in self.rows]
        return "\n".join(lines) + "\n"

    def text(self):
        rows = [self.headers, *self.rows]
        widths = [max(len(row[i]) for row in rows) for i in range(len(self.headers))]
        lines = [self.title]
        for row in rows:
            first = row[0].ljust(widths[0])
            rest = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:])]
            lines.append("  " + "  ".join([first, *rest]))
        return "\n".join(lines) + "\n"


@dataclass
class Series:
    """Points of one line in a plot."""

    name: str
    points: list


@dataclass
class Plot:
    """Lines over a common axis; `labels` names the points of the x axis when it has no numbers."""

    name: str
    title: str
    x_label: str
    y_label: str
    series: list
    labels: list = field(default_factory=list)
    log_y: bool = False
    marks: list = field(default_factory=list)

    def write(self, folder):
        """Writes NAME.svg by gnuplot and returns the path."""
        path = Path(folder) / f"{self.name}.svg"
        script = [
            f"set terminal svg size {PLOT_SIZE} background rgb 'white'",
            f"set output '{path}'",
            f"set title '{self.title}'",
            f"set xlabel '{self.x_label}'",
            f"set ylabel '{self.y_label}'",
            "set key outside right",
            "set grid ytics",
            "set yrange [0:*]" if not self.log_y else "set logscale y",
        ]
        if self.labels:
            tics = ", ".join(f"'{label}' {i}" for i, label in enumerate(self.labels))
            script.append(f"set xtics rotate by -30 ({tics})")
        for x, label in self.marks:
            script.append(f"set arrow from {x}, graph 0 to {x}, graph 1 nohead dashtype 2")
            script.append(f"set label '{label}' at {x}, graph 0.95 offset 0.5,0")
        plots = [f"'-' using 1:2 with linespoints title '{line.name}'" for line in self.series]
        script.append("plot " + ", ".join(plots))
        for line in self.series:
            script += [f"{x} {y}" for x, y in line.points]
            script.append("e")
        text = "\n".join(script).replace("_", r"\\_") + "\n"
        text = text.replace(str(path).replace("_", r"\\_"), str(path))
        subprocess.run(["gnuplot"], input=text, text=True, check=True)
        return path


@dataclass
class Section:
    """Introduction, tables, plots and notes of one scenario."""

    name: str
    title: str
    intro: str
    tables: list = field(default_factory=list)
    plots: list = field(default_factory=list)
    notes: list = field(default_factory=list)

    def text(self):
        return "\n".join([f"== {self.title}", *[table.text() for table in self.tables], *self.notes])

    def write(self, folder, conditions):
        """Writes NAME.md and its plots."""
        parts = [f"# {self.title}", "", self.intro, "", conditions, ""]
        parts += [table.markdown() for table in self.tables]
        for plot in self.plots:
            path = plot.write(folder)
            parts.append(f"![{plot.title}]({path.name})\n")
        parts += [f"- {note}" for note in self.notes]
        (Path(folder) / f"{self.name}.md").write_text("\n".join(parts).rstrip() + "\n")


def format_cell(cell):
    if isinstance(cell, float):
        return f"{cell:.2f}" if abs(cell) < 10 else f"{cell:,.0f}"
    return str(cell)
