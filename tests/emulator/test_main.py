"""Tests of the emulator's command line: output and invalid input."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from emulator import __main__ as command

SMALL = """{hosts: 1, seconds: 1, engines: {count: 1}, plain: {count: 1},
  kinds: [{name: "chat", kind: "stream", a_second: 4, own: 500,
           events: 3}]}"""


class CommandTest(unittest.TestCase):
    """A small deployment is simulated, saved and compared."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.file = self.folder / "small.jsonc"
        self.file.write_text(SMALL)

    def _run(self, *args):
        out, err = io.StringIO(), io.StringIO()
        with (contextlib.redirect_stdout(out),
              contextlib.redirect_stderr(err)):
            code = command.main([*args, "--seeds", "1", "--jobs", "1"])
        return code, out.getvalue(), err.getvalue()

    def test_saved_run_is_compared_with(self):
        kept = str(self.folder / "kept.json")
        code, out, _ = self._run("run", str(self.file), "--keep", kept)
        self.assertEqual((0, True), (code, "| goodput |" in out))
        code, out, _ = self._run("compare", str(self.file), "--with", kept)
        self.assertIn("small, before | small", out)

    def test_invalid_input_is_reported(self):
        bad = self.folder / "bad.jsonc"
        bad.write_text("{hosts: 0}")
        for args, word in (
                (("run", "nowhere"), "nowhere"),
                (("run", str(bad)), "emulator.E003"),
                (("compare", str(self.file), "--with", "none.json"),
                 "none.json"),
                (("compare", str(self.file), "--with", str(bad)),
                 "not written by --keep")):
            with self.subTest(args=args):
                code, _, err = self._run(*args)
                self.assertEqual(command.EXIT_INVALID, code)
                self.assertIn(word, err)


if __name__ == "__main__":
    unittest.main()
