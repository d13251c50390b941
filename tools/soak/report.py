"""A plot of a run: served, refused and failed over time, and faults."""

import collections

__all__ = ["write"]

# Outcomes of requests in the order of the plot, with their colors.
OUTCOMES = (("served", "tab:green"), ("refused, not run", "tab:orange"),
            ("failed", "tab:red"))
FAULT_ROWS = 8


def write(soak, path):
    """Write the plot of a run to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    fig, (above, below) = pyplot.subplots(
        2, 1, sharex=True, figsize=(10, 6), height_ratios=(3, 2))
    _requests(above, soak)
    _faults(below, soak)
    fig.tight_layout()
    fig.savefig(path, dpi=90)


def _outcome(reply):
    if reply.status == 200:
        return "served"
    if reply.status in (404, 503) or not reply.connected:
        return "refused, not run"
    return "failed"


def _requests(axis, soak):
    counts = collections.defaultdict(collections.Counter)
    for sent in soak.record.sent.values():
        if not sent.reply.abandoned:
            second = int(sent.at - soak.began_at)
            counts[_outcome(sent.reply)][second] += 1
    seconds = range(1 + max((max(rows) for rows in counts.values() if rows),
                            default=0))
    axis.stackplot(
        seconds, *([counts[name][second] for second in seconds]
                   for name, _ in OUTCOMES),
        labels=[name for name, _ in OUTCOMES],
        colors=[color for _, color in OUTCOMES])
    axis.set(ylabel="requests a second",
             title=f"{len(soak.record.sent)} requests, "
                   f"{len(soak.violations)} violations")
    axis.legend(loc="upper right")


def _faults(axis, soak):
    for index, (start, end, where, name) in enumerate(soak.record.faults):
        row = index % FAULT_ROWS
        since = start - soak.began_at
        axis.barh(row, max(0.2, end - start), left=since, color="0.75")
        axis.text(since, row, f"{name} {where.rpartition('.')[2]}",
                  fontsize=6, va="center")
    axis.set(xlabel="s", ylabel="faults", yticks=[])
