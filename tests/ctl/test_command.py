"""Tests of the command against the real routes of an in-memory fleet."""

import contextlib
import io
import json
import unittest

from crocuskeel.core import events
from tests.ctl import fleet as fleets

TARGET = "classes.fast.max_tokens"
EDIT = f"{TARGET}=200"


class ExitCodeTest(unittest.TestCase):
    """Scripts rely on the exit codes; each code has at least one row."""

    def test_codes(self):
        rows = (
            (0, ("status",), {}),
            (0, ("settings", "get", "w0", "fast", "tier"), {}),
            (0, ("settings", "check", "good"), {}),
            (0, ("settings", "edit", EDIT, "--wait"), {}),
            (1, ("settings", "edit", "--base", "1",
                 f"{TARGET}=300"), {}),
            (1, ("status",), {"token": "stranger"}),
            (1, ("status",), {"token": fleets.CALLER}),
            (1, ("settings", "apply", "--whole", "good"), {}),
            (2, ("settings", "edit", "no assignment"), {}),
            (2, ("settings", "apply", "no such file"), {}),
            (2, ("settings", "apply", "good"), {}),
            (2, ("status",), {"hosts": ""}),
            (2, ("status",), {"token": ""}),
            (3, ("status",), {"hosts": "10.0.0.3:8100"}),
            (5, ("settings", "check", "bad"), {}),
            (5, ("settings", "edit", "classes.fast.tier=9"), {}),
            (7, ("explain", "h1.1.1"), {}),
            (7, ("settings", "get", "nowhere", "fast"), {}),
            (7, ("drain", "nowhere"), {}),
        )
        fleet = fleets.Fleet()
        fleet.down.add("h3")
        fleet.files["good"] = ("// crocuskeel settings, generation 1\n"
                               + json.dumps(fleets.DOCUMENT))
        fleet.files["bad"] = '{"classes": {"fast": {"tier": 9}}}'
        for code, argv, options in rows:
            if "--wait" in argv:
                fleet.down.clear()
            with self.subTest(argv, **options):
                exit_code, out, err = fleet.run(*argv, **options)
                self.assertEqual(code, exit_code, out + err)
                self.assertEqual(bool(code), not out, out)
            fleet.down.add("h3")

    def test_json_output_includes_failures(self):
        code, out, err = fleets.Fleet().run(
            "--json", "settings", "get", "nowhere", "fast")
        self.assertEqual(("", code), (err, json.loads(out)["code"]))

    def test_invalid_command_line_is_a_usage_error(self):
        with (self.assertRaises(SystemExit) as raised,
              contextlib.redirect_stderr(io.StringIO())):
            fleets.Fleet().run("no-such-command")
        self.assertEqual(2, raised.exception.code)


class ChangeTest(unittest.TestCase):
    """Batches, from the command to the head object."""

    def test_a_conflict_shows_both_values(self):
        """Two operators change the same value concurrently.

        The second edit is based on the generation before the first.
        Without both values, the author and the time in the error, the
        operators could not tell which value is right.
        """
        fleet = fleets.Fleet()
        fleet.run("settings", "edit", EDIT)
        code, out, err = fleet.run(
            "settings", "edit", "--base", "1", f"{TARGET}=300")
        self.assertEqual((1, ""), (code, out))
        for part in ("yours:  300", "theirs: 200", "ops/kylie",
                     "2023-11-14 22:13:20", "generation 2", TARGET):
            self.assertIn(part, err)

    def test_disjoint_edits_merge(self):
        fleet = fleets.Fleet()
        fleet.run("settings", "edit", EDIT)
        code, _out, err = fleet.run(
            "settings", "edit", "--base", "1", "classes.slow.tier=2")
        self.assertEqual((0, ""), (code, err))

    def test_lost_response_does_not_commit_twice(self):
        """A host commits a batch, then its connection is closed.

        The command sends the same batch to the next host. If it were
        committed again, it could overwrite what another operator set in
        between.
        """
        fleet = fleets.Fleet()
        fleet.lost_response_hosts.add("h1")
        code, out, _err = fleet.run(
            "settings", "edit", EDIT, "--base", "1",
            hosts="10.0.0.1:8100,10.0.0.2:8100")
        self.assertEqual(0, code)
        self.assertIn("generation 2", out)
        self.assertEqual(2, fleet.store.head().generation)

    def test_outcome_is_unknown_if_all_responses_are_lost(self):
        """No host confirmed whether the batch was accepted.

        If it were reported as refused, the operator would send it again
        under a new ID.
        """
        fleet = fleets.Fleet()
        fleet.lost_response_hosts.add("h1")
        code, _out, err = fleet.run(
            "settings", "edit", EDIT, "--base", "1")
        self.assertEqual(6, code)
        self.assertIn("settings log", err)

    def test_head_write_with_lost_response_is_recognized(self):
        """The Object API applies the write, but its response is lost."""
        fleet = fleets.Fleet()
        fleet.store.lost_responses = 1
        code, out, err = fleet.run("settings", "edit", EDIT)
        self.assertEqual((0, ""), (code, err))
        self.assertEqual(2, fleet.store.head().generation)

    def test_commit_fails_in_bounded_time_during_an_outage(self):
        fleet = fleets.Fleet()
        fleet.store.down = True
        code, _out, err = fleet.run("settings", "edit", EDIT)
        self.assertEqual(1, code)
        self.assertIn("store_unavailable", err)
        self.assertLess(fleet.clock.seconds(), 20)

    def test_revert_is_a_new_batch(self):
        fleet = fleets.Fleet()
        before = fleet.daemons["h1"].follower.tree.common
        fleet.run("settings", "edit", EDIT, "classes.slow.hedge=true")
        code, out, err = fleet.run("settings", "revert", "2")
        self.assertEqual((0, ""), (code, err))
        self.assertIn("generation 3", out)
        self.assertEqual(before, fleet.daemons["h2"].follower.tree.common)

    def test_revert_does_not_overwrite_later_edits(self):
        """Another operator changed the same value after generation 2."""
        fleet = fleets.Fleet()
        fleet.run("settings", "edit", EDIT)
        fleet.run("settings", "edit", f"{TARGET}=400")
        code, _out, err = fleet.run("settings", "revert", "2")
        self.assertEqual(1, code)
        self.assertIn("theirs: 400", err)

    def test_complete_file_of_an_older_generation_is_refused(self):
        """A file is applied that was read before another operator's batch.

        Its difference would revert that batch; the error must say that
        the file is out of date instead of listing conflicts.
        """
        fleet = fleets.Fleet()
        _code, document, _err = fleet.run("settings", "get")
        fleet.files["mine"] = document.replace('"tier": 3', '"tier": 2')
        fleet.run("settings", "edit", EDIT)
        code, _out, err = fleet.run("settings", "apply", "--whole", "mine")
        self.assertEqual((1, 2), (code, fleet.store.head().generation))
        self.assertIn("is based on generation 1", err)


class WaitTest(unittest.TestCase):
    """``--wait`` waits until a batch is in force on all hosts."""

    def test_hosts_that_are_behind_are_listed(self):
        """A batch is accepted, but one host does not receive it.

        If the command reported success, the operator would rely on the
        new settings while that host still uses the old ones.
        """
        fleet = fleets.Fleet()
        fleet.stuck.add("h3")
        code, out, err = fleet.run("settings", "edit", EDIT, "--wait", "4")
        self.assertEqual((4, ""), (code, out))
        self.assertIn("h3: generation 1", err)
        self.assertNotIn("h2:", err)
        self.assertGreaterEqual(fleet.clock.seconds(), 4)

    def test_unresponsive_host_counts_as_behind(self):
        fleet = fleets.Fleet()
        fleet.down.add("h2")
        code, _out, err = fleet.run("settings", "edit", EDIT, "--wait")
        self.assertEqual(4, code)
        self.assertIn("h2: no host responded", err)


class DrainTest(unittest.TestCase):
    """``drain`` only affects the named host."""

    def test_only_the_named_host_drains(self):
        fleet = fleets.Fleet()
        code, _out, _err = fleet.run("drain", "h2")
        fleet.clock.advance(0)
        self.assertEqual(0, code)
        self.assertEqual([("h2", events.DrainAsked())], fleet.fed_events)

    def test_read_role_cannot_change_anything(self):
        """A read-only token must not drain hosts or change settings."""
        fleet = fleets.Fleet()
        for argv in (("drain", "h2"), ("settings", "edit", EDIT),
                     ("settings", "revert", "1")):
            code, _out, err = fleet.run(*argv, token=fleets.READER)
            self.assertEqual(1, code)
            self.assertIn("needs change", err)
        fleet.clock.advance(0)
        self.assertEqual([], fleet.fed_events)
        self.assertEqual(1, fleet.store.head().generation)
        self.assertEqual(0, fleet.run("status", token=fleets.READER)[0])
