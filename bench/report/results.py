"""Reads the benchmark results that are stored in ``bench/results``.

A figure that was not measured is ``None`` and its name is recorded; no
other value is substituted.
"""

import dataclasses
import json

from bench import capacity

__all__ = ["FigureReader", "LOOPBACK_SOURCES", "POLICIES", "SOURCES",
           "StoredResults", "read"]

POLICIES = ("ours", "oracle", "priority", "fifo")
# Run in addition to the sources of ``bench.capacity``, which measures only
# three hosts.
LOOPBACK_SOURCES = (("loopback_hosts",
                     ("-m", "bench.loopback", "--hosts", "1", "9",
                      "--seconds", "15")),)
SOURCES = capacity.SOURCES + LOOPBACK_SOURCES


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResults:
    """Figures by name and n; rows of the policy benchmark by run."""

    figures: capacity.Figures
    runs: dict


@dataclasses.dataclass(slots=True)
class FigureReader:
    """Looks up stored results and records the names of missing ones."""

    stored: StoredResults
    missing: list = dataclasses.field(default_factory=list)

    def get(self, name, n=None):
        """Return a figure or None; without ``n`` the one of the greatest n."""
        try:
            return self.stored.figures.get(name, n)
        except KeyError:
            self.missing.append(name if n is None else f"{name} (n {n})")
            return None

    def series(self, name, points):
        """Return (points, values) of the measured points."""
        pairs = [(n, self.get(name, n)) for n in points]
        return _split_measured(pairs)

    def by_name(self, template, points):
        """Like :meth:`series`, but the figure's name contains the point."""
        pairs = [(point, self.get(template.format(point)))
                 for point in points]
        return _split_measured(pairs)

    def run(self, deployment, scenario, policy):
        """Return a row of the policy benchmark, or None."""
        row = self.stored.runs.get((deployment, scenario, policy))
        if row is None:
            self.missing.append(f"{deployment} {scenario} {policy}")
        return row


def _split_measured(pairs):
    pairs = [pair for pair in pairs if pair[1] is not None]
    return [n for n, _ in pairs], [value for _, value in pairs]


def read(directory):
    """Return a directory's :class:`StoredResults`; files may be missing."""
    figures = capacity.Figures()
    for name, command in SOURCES:
        path = directory / f"{name}.jsonl"
        if path.exists():
            figures.add(path.read_text(), "python " + " ".join(command))
    return StoredResults(figures, _runs(directory / "policy.jsonl"))


def _runs(path):
    if not path.exists():
        return {}
    rows = map(json.loads, path.read_text().splitlines())
    return {(row["deployment"], row["scenario"], row["policy"]): row
            for row in rows}
