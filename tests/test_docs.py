"""The pages lead to what exists and name all that they must."""

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
DRIVE = ROOT / "tools" / "faults" / "script.py"

_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
_FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
_HEADING = re.compile(r"^#+ (.*)$", re.MULTILINE)
_TEST = re.compile(r"`(tests/[\w/]+\.py)::(test_\w+)`")
_ROWS = re.compile(r"\(rows? ([^)]*)\)")
_DRIVE = re.compile(r"drive: ([a-z, ]+)")
_MODEL = re.compile(r"`(models/\w+\.pml)`")
_STEP = re.compile(r'"(\w+)": _\w+')
_KEY = re.compile(r"^\| `([\w.\[\]]+)` \|.*\| ([^|]*) \|$", re.MULTILINE)


def _pages():
    return [ROOT / "README.md", ROOT / "CONTRIBUTING.md",
            *sorted(DOCS.rglob("*.md"))]


def _links(page):
    """Return (path, anchor) of the page's links within the project."""
    text = _FENCE.sub("", page.read_text())
    found = []
    for link in _LINK.findall(text):
        if not re.match(r"[a-z]+:", link):
            name, _, anchor = link.partition("#")
            path = page if not name else (page.parent / name).resolve()
            found.append((path, anchor))
    return found


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
    """A reader who follows a link arrives."""

    def test_links_lead_to_pages_and_headings(self):
        wrong = []
        for page in _pages():
            for path, anchor in _links(page):
                if not path.exists():
                    wrong.append(f"{page.name}: {path.name}")
                elif anchor and anchor not in _anchors(path):
                    wrong.append(f"{page.name}: {path.name}#{anchor}")
        self.assertEqual([], wrong)

    def test_every_page_stands_in_the_index(self):
        listed = {path for path, _ in _links(INDEX)} | {INDEX}
        missing = {page.relative_to(ROOT).as_posix()
                   for page in DOCS.rglob("*.md") if page not in listed}
        self.assertEqual(set(), missing)


class FaultIndexTest(unittest.TestCase):
    """A proof that the index names is there."""

    def setUp(self):
        self.text = FAULTS.read_text()

    def test_tests_exist(self):
        named = _TEST.findall(self.text)
        wrong = [f"{name}::{test}" for name, test in named
                 if not (ROOT / name).exists()
                 or test not in _tests_of(ROOT / name)]
        self.assertEqual([], wrong)
        self.assertEqual(len(named), self.text.count("`tests/"))

    def test_rows_of_fault_tables_exist(self):
        tables = (fault_table.CALLER, fault_table.ENGINE, fault_table.PEER)
        known = {row.name for table in tables for row in table}
        for group in _ROWS.findall(self.text):
            for name in re.findall(r"`(\w+)\*?`", group):
                self.assertTrue(
                    any(row.startswith(name) if f"{name}*" in group
                        else row == name for row in known), name)

    def test_models_and_steps_of_the_drive_exist(self):
        for name in _MODEL.findall(self.text):
            self.assertTrue((ROOT / name).exists(), name)
        steps = {*_STEP.findall(DRIVE.read_text()), "all"}
        named = {step.strip() for group in _DRIVE.findall(self.text)
                 for step in group.split(",")}
        self.assertEqual(set(), named - steps)


class ReferenceTest(unittest.TestCase):
    """Reference pages and the code name the same things."""

    def test_every_refusal_has_its_row(self):
        found = dict(re.findall(
            r"^\| `(\w+)` \| (\d+) \|", REFUSALS.read_text(),
            re.MULTILINE))
        wanted = {str(reason): str(kind.status)
                  for reason, kind in problems.PROBLEM_TYPES.items()}
        self.assertEqual(wanted, found)

    def test_every_process_setting_has_its_row(self):
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
    """Return the dotted keys of a schema, sections too."""
    found = []
    for name, each in schema["properties"].items():
        found.append(prefix + name)
        inner = each.get("items", each)
        if "properties" in inner:
            many = "[]" if inner is not each else ""
            found += _keys(inner, f"{prefix}{name}{many}.")
    return found
