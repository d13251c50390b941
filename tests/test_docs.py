"""Tests of the documentation: its links, references and completeness."""

import ast
import dataclasses
import pathlib
import re
import unittest

from crocuskeel.control import settings as control_settings
from crocuskeel.core import control
from crocuskeel.core import problems
from crocuskeel.core import state
from crocuskeel.runtime import settings as daemon_settings
from tests.frontend import fault_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
INDEX = DOCS / "index.md"
FAULTS = DOCS / "internals" / "faults.md"
REFUSALS = DOCS / "reference" / "refusals.md"
PROCESS = DOCS / "reference" / "process_settings.md"
FAULT_SCRIPT = ROOT / "tools" / "faults" / "script.py"

_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
_HEADING = re.compile(r"^#+ (.*)$", re.MULTILINE)
_TEST = re.compile(r"`(tests/[\w/]+\.py)::(test_\w+)`")
_ROWS = re.compile(r"\(rows? ([^)]*)\)")
_SCRIPT_STEPS = re.compile(r"drive: ([a-z, ]+)")
_MODEL = re.compile(r"`(models/\w+\.pml)`")
_STEP = re.compile(r'"(\w+)": _\w+')
_KEY = re.compile(r"^\| `([\w.\[\]]+)` \|.*\| ([^|]*) \|$", re.MULTILINE)


def _pages():
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md",
            *sorted(DOCS.rglob("*.md"))]


def _links(page):
    """Return (path, anchor) of the page's links within the repository."""
    text = _FENCE.sub("", page.read_text())
    links = []
    for link in _LINK.findall(text):
        if not re.match(r"[a-z]+:", link):
            name, _, anchor = link.partition("#")
            path = page if not name else (page.parent / name).resolve()
            links.append((path, anchor))
    return links


def _anchors(page):
    text = _FENCE.sub("", page.read_text())
    plain = (re.sub(r"[^\w\- ]", "", heading.lower())
             for heading in _HEADING.findall(text))
    return {heading.strip().replace(" ", "-") for heading in plain}


def _tests_of(path):
    tree = ast.parse(path.read_text())
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in ast.walk(tree) if type(node) in kinds}


class LinksTest(unittest.TestCase):
    """Links have existing targets, and the index is complete."""

    def test_link_targets_exist(self):
        broken = []
        for page in _pages():
            for path, anchor in _links(page):
                if not path.exists():
                    broken.append(f"{page.name}: {path.name}")
                elif anchor and anchor not in _anchors(path):
                    broken.append(f"{page.name}: {path.name}#{anchor}")
        self.assertEqual([], broken)

    def test_index_links_to_every_page(self):
        listed = {path for path, _ in _links(INDEX)} | {INDEX}
        missing = {page.relative_to(ROOT).as_posix()
                   for page in DOCS.rglob("*.md") if page not in listed}
        self.assertEqual(set(), missing)


class FaultIndexTest(unittest.TestCase):
    """The tests, table rows and models named in the fault index exist."""

    def setUp(self):
        self.text = FAULTS.read_text()

    def test_tests_exist(self):
        named = _TEST.findall(self.text)
        broken = [f"{name}::{test}" for name, test in named
                  if not (ROOT / name).exists()
                  or test not in _tests_of(ROOT / name)]
        self.assertEqual([], broken)
        self.assertEqual(len(named), self.text.count("`tests/"))

    def test_rows_of_fault_tables_exist(self):
        tables = (fault_table.CALLER, fault_table.ENGINE, fault_table.PEER)
        known = {row.name for table in tables for row in table}
        for group in _ROWS.findall(self.text):
            for name in re.findall(r"`(\w+)\*?`", group):
                self.assertTrue(
                    any(row.startswith(name) if f"{name}*" in group
                        else row == name for row in known), name)

    def test_models_and_script_steps_exist(self):
        for name in _MODEL.findall(self.text):
            self.assertTrue((ROOT / name).exists(), name)
        steps = {*_STEP.findall(FAULT_SCRIPT.read_text()), "all"}
        named = {step.strip() for group in _SCRIPT_STEPS.findall(self.text)
                 for step in group.split(",")}
        self.assertEqual(set(), named - steps)


class ReferenceTest(unittest.TestCase):
    """Reference pages list the same names as the code."""

    def test_refusals_are_listed_with_their_status(self):
        listed = dict(re.findall(
            r"^\| `(\w+)` \| (\d+) \|", REFUSALS.read_text(),
            re.MULTILINE))
        wanted = {str(reason): str(kind.status)
                  for reason, kind in problems.PROBLEM_TYPES.items()}
        self.assertEqual(wanted, listed)

    def test_process_settings_are_listed_with_their_defaults(self):
        parts = PROCESS.read_text().split("## `crocuskeel-control")
        for text, schema, own in (
                (parts[0], daemon_settings.SCHEMA, state.Limits()),
                (parts[1], control_settings.SCHEMA, control.Config("h"))):
            rows = dict(_KEY.findall(text))
            self.assertEqual(set(_keys(schema)), set(rows))
            self._check_defaults(rows, dataclasses.asdict(own))

    def _check_defaults(self, rows, defaults):
        for key, default in rows.items():
            _, _, name = key.rpartition(".")
            if "." in key and name in defaults:
                self.assertEqual(float(default), defaults[name], key)


def _keys(schema, prefix=""):
    """Return the dotted keys of a schema, including its sections."""
    keys = []
    for name, each in schema["properties"].items():
        keys.append(prefix + name)
        inner = each.get("items", each)
        if "properties" in inner:
            many = "[]" if inner is not each else ""
            keys += _keys(inner, f"{prefix}{name}{many}.")
    return keys
