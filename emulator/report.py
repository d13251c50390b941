"""Tables and plots of runs, and files that later runs are compared with."""

import json
import statistics

__all__ = ["delta_table", "keep", "kept", "plot", "table"]


def _spread(values):
    if len(values) < 2:
        return f"{values[0]:.3f}"
    return f"{statistics.mean(values):.3f} ±{statistics.stdev(values):.3f}"


def table(runs):
    """Return a table: a column a (deployment, variant), means of seeds.

    ``runs`` maps (deployment, variant) to a list of rows.
    """
    names = list(next(iter(runs.values()))[0])
    lines = ["| Figure | " + " | ".join(
        f"{deployment}{', ' + variant if variant else ''}"
        for deployment, variant in runs) + " |",
        "| --- |" + " --- |" * len(runs)]
    for name in names:
        cells = [_spread([row[name] for row in rows])
                 for rows in runs.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def delta_table(figure, base, variants):
    """Return what each variant changes of a figure, by deployment.

    ``base`` maps a deployment to rows by seed, ``variants`` a name to the
    same; a change is told with the spread of the seeds' own changes.
    """
    lines = [f"| Without | {' | '.join(base)} |",
             "| --- |" + " --- |" * len(base)]
    for name, found in variants.items():
        cells = []
        for deployment, rows in base.items():
            changes = [row[figure] - usual[figure] for row, usual
                       in zip(found[deployment], rows)]
            cells.append(_signed(changes))
        lines.append(f"| {name} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _signed(changes):
    mean = statistics.mean(changes)
    if len(changes) < 2:
        return f"{mean:+.3f}"
    error = statistics.stdev(changes) / len(changes) ** 0.5
    return f"{mean:+.3f} ±{error:.3f}"


def keep(path, runs):
    """Write rows to a file."""
    rows = [{"deployment": deployment, "variant": variant, "rows": found}
            for (deployment, variant), found in runs.items()]
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


def kept(path):
    """Return the rows of a file as :func:`table` takes them."""
    return {(each["deployment"], each["variant"]): each["rows"]
            for each in json.loads(path.read_text(encoding="utf-8"))}


def plot(path, results):
    """Draw what was earned of what was owed, second by second.

    ``results`` maps a name to a :class:`tally.Result`.
    """
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, result in results.items():
        shares = [earned / owed if owed else 1.0
                  for owed, earned in result.seconds]
        axes.plot(range(len(shares)), shares, label=name)
    axes.set_xlabel("s")
    axes.set_ylabel("earned of what was owed")
    axes.set_ylim(0, 1.05)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
