"""Tables and plots of runs, and files to compare later runs with."""

import json
import statistics

__all__ = ["delta_table", "load_rows", "plot", "save_rows", "table"]


def _format_mean(values):
    if len(values) < 2:
        return f"{values[0]:.3f}"
    return f"{statistics.mean(values):.3f} ±{statistics.stdev(values):.3f}"


def table(runs):
    """Return a table of means over seeds, a column per run.

    ``runs`` maps (deployment, variant) to a list of rows.
    """
    names = list(next(iter(runs.values()))[0])
    lines = ["| Figure | " + " | ".join(
        f"{deployment}{', ' + variant if variant else ''}"
        for deployment, variant in runs) + " |",
        "| --- |" + " --- |" * len(runs)]
    for name in names:
        cells = [_format_mean([row[name] for row in rows])
                 for rows in runs.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def delta_table(figure, base, variants):
    """Return the change of a figure by each variant, per deployment.

    ``base`` maps a deployment to its rows by seed, ``variants`` a name to
    such a mapping. A change is given as the mean of the seeds' changes,
    with its standard error.
    """
    lines = [f"| Without | {' | '.join(base)} |",
             "| --- |" + " --- |" * len(base)]
    for name, run_rows in variants.items():
        cells = []
        for deployment, rows in base.items():
            changes = [row[figure] - baseline[figure] for row, baseline
                       in zip(run_rows[deployment], rows)]
            cells.append(_format_change(changes))
        lines.append(f"| {name} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _format_change(changes):
    mean = statistics.mean(changes)
    if len(changes) < 2:
        return f"{mean:+.3f}"
    error = statistics.stdev(changes) / len(changes) ** 0.5
    return f"{mean:+.3f} ±{error:.3f}"


def save_rows(path, runs):
    """Write the rows of runs to a JSON file."""
    rows = [{"deployment": deployment, "variant": variant, "rows": run_rows}
            for (deployment, variant), run_rows in runs.items()]
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


def load_rows(path):
    """Return the rows of a file in the format of :func:`table`."""
    return {(each["deployment"], each["variant"]): each["rows"]
            for each in json.loads(path.read_text(encoding="utf-8"))}


def plot(path, results):
    """Plot the share of the offered worth that was earned, per second.

    ``results`` maps a name to a :class:`tally.Result`.
    """
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, result in results.items():
        shares = [earned / offered if offered else 1.0
                  for offered, earned in result.seconds]
        axes.plot(range(len(shares)), shares, label=name)
    axes.set_xlabel("s")
    axes.set_ylabel("share of offered worth earned")
    axes.set_ylim(0, 1.05)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
