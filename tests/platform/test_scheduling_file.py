"""The operator's settings of scheduling: file, command line, services."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from crocuskeel.core.entry import model
from crocuskeel.core.scheduling import settings
from crocuskeel.programs import entry
from crocuskeel.programs import scheduling_file
from tests.entry import support
from tests.platform import test_boot

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLE = ROOT / "examples" / "scheduling.jsonc"
DEPLOYED = ROOT / "deploy" / "scheduling.jsonc"
PAGE = ROOT / "docs" / "reference" / "process_settings.md"
INVALID = (
    ("{", ["E001 invalid"]),
    ("[]", ["E002 top"]),
    ("{patience: 4}", ["E003 patience"]),
    ("{min_patience: 1.4, wait_share: 0, max_waiting: 0}",
     ["E004 min_patience", "E004 wait_share", "E004 max_waiting"]),
    ("{min_patience: Infinity, wait_share: NaN, max_waiting: 1e9}",
     ["E004 min_patience", "E004 wait_share", "E004 max_waiting"]),
    ("{min_patience: '5', wait_share: true, max_waiting: 20.5}",
     ["E004 min_patience", "E004 wait_share", "E004 max_waiting"]),
    ("{wait_share: 0.91, max_waiting: null}",
     ["E004 wait_share", "E004 max_waiting"]),
    ("{class_weights: [], class_floors: 1}",
     ["E005 class_weights", "E005 class_floors"]),
    ("{class_weights: {a: -1, b: 1}, workspace_weights: {c: 0, d: 1001}}",
     ["E004 class_weights.a", "E004 workspace_weights.c",
      "E004 workspace_weights.d"]),
    ("{class_floors: {a: 0.6, b: 0.41, c: -1, d: 'x'}}",
     ["E004 class_floors.c", "E004 class_floors.d", "E006 class_floors"]),
)


class FileTest(unittest.TestCase):
    """Valid files, and the errors of invalid ones."""

    def test_missing_keys_keep_their_defaults(self):
        self.assertEqual(settings.Settings(),
                         scheduling_file.parse_scheduling("{/* off */}"))
        self.assertEqual(settings.Settings(min_patience=4.5),
                         scheduling_file.parse_scheduling(
                             DEPLOYED.read_text()))

    def test_example_sets_every_key(self):
        found = scheduling_file.parse_scheduling(EXAMPLE.read_text())
        self.assertEqual(2, settings.class_weight(found, "advice"))
        self.assertEqual(1, settings.class_weight(found, "booking"))
        self.assertEqual(0.25, settings.workspace_weight(found, "trials"))
        self.assertEqual(1, settings.workspace_weight(found, "desk"))
        self.assertEqual(0.3, settings.floor(found, "advice"))
        self.assertEqual(0, settings.floor(found, "booking"))
        for name in scheduling_file.CHECKS:
            self.assertIn(f'"{name}": ', EXAMPLE.read_text())
            self.assertIn(f"| `{name}`, ", PAGE.read_text())

    def test_floors_of_exactly_one_are_valid(self):
        """Ten floors of 0.1 were rejected: floats sum to another value."""
        floors = ", ".join(f"c{number}: 0.1" for number in range(10))
        found = scheduling_file.parse_scheduling(
            f"{{class_floors: {{{floors}}}}}")
        self.assertEqual(10, len(found.class_floors))

    def test_all_errors_are_reported_with_their_keys(self):
        """An operator would correct a file one error at a time."""
        for text, expected in INVALID:
            with self.subTest(text=text):
                with self.assertRaises(
                        scheduling_file.InvalidSchedulingError) as caught:
                    scheduling_file.parse_scheduling(text)
                self.assertEqual(expected, [
                    fault.id.removeprefix("scheduling.") + " "
                    + fault.text.replace(":", " ").split()[0]
                    for fault in caught.exception.errors])


class CommandLineTest(unittest.TestCase):
    """The command line's ``--check``."""

    def _check(self, text):
        """Return the exit code and what is printed as errors."""
        with tempfile.TemporaryDirectory() as folder:
            boot = pathlib.Path(folder, "boot.conf")
            boot.write_text(test_boot.VALID)
            path = pathlib.Path(folder, "scheduling.jsonc")
            if text is not None:
                path.write_text(text)
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors), (
                    contextlib.redirect_stdout(io.StringIO())):
                code = entry.main(["--check", "--settings", str(boot),
                                   "--scheduling", str(path)])
            return code, errors.getvalue().replace(str(path), "FILE")

    def test_check(self):
        """A host with invalid settings would start without scheduling."""
        self.assertEqual((0, ""), self._check("{min_patience: 4.5}"))
        code, printed = self._check("{max_waiting: 0, x: 1}")
        self.assertEqual(entry.EXIT_SETTINGS, code)
        self.assertIn("FILE: scheduling.E004: max_waiting: 0 (", printed)
        self.assertIn("FILE: scheduling.E003: x: unknown setting", printed)
        self.assertEqual(
            (entry.EXIT_SETTINGS, "FILE: No such file or directory\n"),
            self._check(None))


class ScheduledTest(unittest.TestCase):
    """Which services are scheduled, and which names are unknown."""

    def test_scheduled_services(self):
        """One class with a short limit would get its answers too late."""
        patient = support.stream(timeout_s=8.0, target_s=1.5)
        at_bound = support.stream("chat", timeout_s=1.8, target_s=0.4)
        hurried = support.stream("brief", timeout_s=4.0, target_s=1.0)
        call = support.route(timeout_s=0.6, target_s=0.4)
        unsafe = support.route("book", model.Kind.UNSAFE, timeout_s=9.0)
        on = settings.Settings(min_patience=4.5)
        rows = ((on, (patient, at_bound, call), True),
                (on, (patient, hurried), False),
                (on, (call, unsafe), False), (on, (), False),
                (settings.Settings(), (patient,), False))
        for found, routes, expected in rows:
            with self.subTest(routes=[route.name for route in routes]):
                self.assertIs(expected, settings.is_scheduled(found, routes))

    def test_unknown_names(self):
        """A name of a workspace is no name of a class."""
        found = settings.Settings(
            class_weights={"b": 1, "w": 1}, workspace_weights={"w": 1, "a": 2},
            class_floors={"c": 0.1, "b": 0.1})
        self.assertEqual(["a", "c", "w"], settings.unknown_names(
            found, ["b"], iter(["w"])))


if __name__ == "__main__":
    unittest.main()
