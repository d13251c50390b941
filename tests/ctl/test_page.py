"""Checks that the reference page lists all commands and exit codes."""

import argparse
import pathlib
import re
import unittest

from crocuskeel.ctl import arguments
from crocuskeel.ctl import results

PAGE = pathlib.Path(__file__).parents[2] / "docs/reference/command.md"


def _commands(parser, names=()):
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, subparser in action.choices.items():
                yield from _commands(subparser, (*names, name))
            return
    yield " ".join(names)


class CommandPageTest(unittest.TestCase):
    """Authors of scripts rely on the page, not the code."""

    def test_every_command_has_its_row(self):
        rows = {row.split("`")[1] for row in PAGE.read_text().splitlines()
                if row.startswith("| `")}
        for command in _commands(arguments.new_parser()):
            self.assertTrue(
                any(row == command or row.startswith(command + " ")
                    for row in rows), command)

    def test_every_exit_code_has_its_row(self):
        codes = re.findall(r"^\| (\d) \|", PAGE.read_text(), re.MULTILINE)
        self.assertEqual([int(code) for code in results.Code],
                         [int(code) for code in codes])
