"""What the benchmarks printed, as kept in ``bench/results``.

A figure that was not measured is ``None`` and its name is noted; nothing
is guessed in its place.
"""

import dataclasses
import json

from bench import capacity

__all__ = ["Asked", "HOSTS", "Kept", "POLICIES", "SOURCES", "read"]

POLICIES = ("ours", "oracle", "priority", "fifo")
# Run beside those of ``bench.capacity``, which measures three hosts alone.
HOSTS = (("loopback_hosts",
          ("-m", "bench.loopback", "--hosts", "1", "9",
           "--seconds", "15")),)
SOURCES = capacity.SOURCES + HOSTS


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """Figures by name and n; rows of the policy benchmark by run."""

    figures: capacity.Figures
    runs: dict


@dataclasses.dataclass(slots=True)
class Asked:
    """Answers from what is kept, and the names of what is not."""

    kept: Kept
    missing: list = dataclasses.field(default_factory=list)

    def get(self, name, n=None):
        """Return a figure or None; without ``n`` that of the greatest."""
        try:
            return self.kept.figures.get(name, n)
        except KeyError:
            self.missing.append(name if n is None else f"{name} (n {n})")
            return None

    def series(self, name, points):
        """Return (points, values) of those that were measured."""
        pairs = [(n, self.get(name, n)) for n in points]
        return _measured(pairs)

    def by_name(self, template, points):
        """Like :meth:`series`, with the point in the figure's name."""
        pairs = [(each, self.get(template.format(each)))
                 for each in points]
        return _measured(pairs)

    def run(self, deployment, scenario, policy):
        """Return a row of the policy benchmark, or None."""
        row = self.kept.runs.get((deployment, scenario, policy))
        if row is None:
            self.missing.append(f"{deployment} {scenario} {policy}")
        return row


def _measured(pairs):
    pairs = [pair for pair in pairs if pair[1] is not None]
    return [n for n, _ in pairs], [value for _, value in pairs]


def read(folder):
    """Return the :class:`Kept` figures of a folder; files may lack."""
    figures = capacity.Figures()
    for name, command in SOURCES:
        path = folder / f"{name}.jsonl"
        if path.exists():
            figures.add(path.read_text(), "python " + " ".join(command))
    return Kept(figures, _runs(folder / "policy.jsonl"))


def _runs(path):
    if not path.exists():
        return {}
    rows = map(json.loads, path.read_text().splitlines())
    return {(row["deployment"], row["scenario"], row["policy"]): row
            for row in rows}
