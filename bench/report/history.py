"""Headline figures of each commit, stored for comparison."""

import json

from bench.report import policy_plots

__all__ = ["HEADLINES", "append", "headlines", "load", "table"]

# Key, title on the page, name of the figure and n (None: greatest n).
HEADLINES = (
    ("in_force_max_s", "a change in force everywhere, 470 hosts, s",
     "settings_in_force_max", 470),
    ("change_bytes", "bytes a change a host, 470 hosts",
     "settings_bytes_a_change_a_host", 470),
    ("membership_bytes_s", "membership, bytes/s a host, 470 hosts",
     "membership.bytes", 470),
    ("detection_max_s", "a death known to all, 470 hosts, s",
     "membership.detection.470hosts.loss2%.max", None),
    ("door_us", "door, µs a request, 4 engines a cell",
     "door_cpu_a_request_queue_0", 4),
    ("dispatcher_us", "dispatcher, µs a request, 4 engines a cell",
     "dispatcher_cpu_a_request_queue_0", 4),
    ("token_us", "µs a token, 3 hosts", "hosts_3.cpu_per_token", None),
    ("added_p95_ms", "added time to first token at p95, 3 hosts, ms",
     "hosts_3.ttft_added_p95", None),
    ("writes_a_claim", "writes a claim, 10/s, window 0.33 s",
     "claims.window_0.33s.load_10.writes_a_claim", None),
    ("daemon_mb", "a daemon's memory, MB", "memory_daemon", None),
)
SHOWN_COMMITS = 6
NOT_MEASURED = "not measured"


def headlines(reader):
    """Return the headline figures by key; None where not measured."""
    figures = {}
    for deployment in policy_plots.DEPLOYMENTS:
        figures |= _policy_headlines(reader, deployment)
    for key, _, name, n in HEADLINES:
        figures[key] = reader.get(name, n)
    return figures


def _policy_headlines(reader, deployment):
    steady = reader.run(deployment, "steady", "ours")
    burst = reader.run(deployment, "burst", "ours")
    oracle = reader.run(deployment, "burst", "oracle")
    key = "top_tier_attainment"
    return {
        f"{deployment}.top_of_steady": _figure_ratio(burst, steady, key),
        f"{deployment}.weighted_of_oracle": _figure_ratio(
            burst, oracle, "weighted_attainment"),
        f"{deployment}.burst_waste_pct": (
            None if burst is None else 100 * burst["wasted_work"]),
    }


def _figure_ratio(numerator, denominator, key):
    if numerator is None or denominator is None or not denominator[key]:
        return None
    return numerator[key] / denominator[key]


_POLICY_TITLES = {
    "top_of_steady": "burst: top tier's attainment of steady's",
    "weighted_of_oracle": "burst: weighted attainment of oracle's",
    "burst_waste_pct": "burst: wasted work, %"}


def _titles():
    titles = {f"{deployment}.{key}": f"{deployment}, {title}"
              for deployment in policy_plots.DEPLOYMENTS
              for key, title in _POLICY_TITLES.items()}
    return titles | {key: title for key, title, _, _ in HEADLINES}


def load(path):
    """Return the stored rows, oldest first; none if the file is missing."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def append(path, date, commit, figures):
    """Append a commit's row, replacing the last if it is of this commit."""
    rows = load(path)
    if rows and rows[-1]["commit"] == commit:
        rows.pop()
    rounded = {key: None if value is None else float(f"{value:.4g}")
               for key, value in figures.items()}
    rows.append({"date": date, "commit": commit, "figures": rounded})
    path.write_text("".join(json.dumps(row) + "\n" for row in rows))
    return rows


def table(rows):
    """Return the header and rows of the page's table, newest commit last."""
    rows = rows[-SHOWN_COMMITS:]
    header = ["Figure"] + [f"{row['commit']}, {row['date']}"
                           for row in rows]
    lines = [[title] + [_cell(row["figures"].get(key)) for row in rows]
             for key, title in _titles().items()]
    return header, lines


def _cell(value):
    return NOT_MEASURED if value is None else f"{value:g}"
