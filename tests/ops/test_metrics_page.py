"""Checks that the metrics reference and the code name the same metrics."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "reference" / "metrics.md"
_METRIC_CALLS = ("Measure", "count", "timing")
_ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


def _called_name(node):
    func = node.func
    name = func.attr if isinstance(func, ast.Attribute) else getattr(
        func, "id", "")
    return name


def _pattern(node, names):
    """Return a metric's name with ``*`` for variables, None if unknown."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.Name):
        return names.get(node.id)
    if not isinstance(node, ast.JoinedStr):
        return None
    return "".join(
        part.value if isinstance(part, ast.Constant)
        else _pattern(part.value, names) or "*" for part in node.values)


def _metrics_in_function(function):
    names = {}
    for node in ast.walk(function):
        if isinstance(node, ast.Assign) and len(node.targets) == 1:
            pattern = _pattern(node.value, {})
            if pattern and isinstance(node.targets[0], ast.Name):
                names[node.targets[0].id] = pattern
    for node in ast.walk(function):
        if isinstance(node, ast.Call) and _called_name(node) in _METRIC_CALLS:
            pattern = _pattern(node.args[0], names) if node.args else None
            if pattern and "." in pattern:
                yield pattern


def _metrics_in_code():
    for path in (ROOT / "crocuskeel" / "core").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef):
                yield from _metrics_in_function(node)


class MetricsPageTest(unittest.TestCase):
    """An alert on a metric that is never sent would never fire."""

    def test_page_and_code_agree(self):
        code = set(_metrics_in_code())
        page = {re.sub(r"<[^>]+>", "*", name)
                for name in _ROW.findall(PAGE.read_text())}
        self.assertGreater(len(code), 10)
        self.assertEqual(code, page)
