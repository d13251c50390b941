"""The page of benchmarks shows what was measured and what was not."""

import json
import pathlib
import tempfile
import unittest

from bench.report import history
from bench.report import page
from bench.report import results

CLASSES = {
    "quote": {"tier": 1, "attainment": 0.9, "longest_wait_s": 0.5,
              "wait_bound_s": 2.0, "longest_gap_s": 0.1,
              "gap_bound_s": 1.0}}
RUN = {
    "deployment": "paddlegum", "policy": "ours", "classes": CLASSES,
    "wasted_work": 0.0123, "weighted_attainment": 0.9,
    "duplicated_runs": 0, "wrong_answers": 0, "unanswered": 0,
    "tier_inversions": 0}
RUNS = (RUN | {"scenario": "steady", "top_tier_attainment": 1.0},
        RUN | {"scenario": "burst", "top_tier_attainment": 0.97})
CORE = (
    {"name": "door_cpu_a_request_queue_0", "n": 4, "value": 100.0},
    {"name": "dispatcher_cpu_a_request_queue_0", "n": 4, "value": 200.0})
LOOPBACK = (
    {"name": "hosts_3.cpu_per_token", "n": 9, "value": 44.0},
    {"name": "hosts_3.ttft_added_p95", "n": 9, "value": 3.5})


def _write_results(directory):
    for name, rows in (("policy", RUNS), ("core", CORE),
                       ("loopback", LOOPBACK)):
        text = "".join(json.dumps(row) + "\n" for row in rows)
        (directory / f"{name}.jsonl").write_text(text)


def _write_page(results_directory, page_directory):
    """Store two commits' rows, write the page; return files by name."""
    stored = results.read(results_directory)
    figures = history.headlines(results.FigureReader(stored))
    path = results_directory / "history.jsonl"
    history.append(path, "2030-01-01", "aaa", figures | {"token_us": 50.0})
    for _ in range(2):
        rows = history.append(path, "2030-01-02", "bbb", figures)
    page.write(stored, rows, page_directory)
    path.unlink()
    return {file.name: file.read_bytes() for file in page_directory.iterdir()}


class ReportTest(unittest.TestCase):
    """A page written from a small set of figures."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        _write_results(self.root)

    def test_page(self):
        """Guards against a page that hides missing or missed figures.

        One benchmark was not run, another ran in part, a third missed
        its goal. The page must name each of these, show the earlier
        commit's figures beside the new ones, and change only when the
        figures do; otherwise each run would produce a change to review.
        """
        first = _write_page(self.root, self.root / "one")
        text = first["README.md"].decode()
        self.assertEqual(first, _write_page(self.root, self.root / "two"))
        self._check_missing_figures(first, text)
        unwrapped = " ".join(text.split())
        self.assertIn("together 0.970 (goal 0.990, **missed**)", unwrapped)
        self.assertIn(
            "wastes 1.23 % in burst (goal 1 %, **missed**;", unwrapped)
        self.assertIn("A token costs 44 µs with 3 hosts (met).", unwrapped)
        self.assertIn("3.5 ms with 3 hosts (**missed**)", unwrapped)
        self.assertIn("| Figure | aaa, 2030-01-01 | bbb, 2030-01-02 |\n",
                      text)
        self.assertIn("| µs a token, 3 hosts | 50 | 44 |", text)
        self.assertIn("470 hosts, s | not measured | not measured |", text)

    def _check_missing_figures(self, files, text):
        plots = {f"{file.slug}.png" for file in page.SECTIONS}
        drawn = {"attainment.png", "waste.png", "waits.png",
                 "requests.png", "relay.png"}
        self.assertEqual(drawn | {"README.md"}, set(files))
        self.assertEqual(len(plots - drawn), text.count("**Not measured.**"))
        for name in ("hosts_9.cpu_per_token", "paddlegum burst oracle",
                     "wellness steady ours", "settings_in_force_max (n 470)",
                     "door_cpu_a_request_queue_0 (n 64)"):
            self.assertIn(f"`{name}`", text)
        self.assertNotIn("`hosts_3.cpu_per_token`", text)
