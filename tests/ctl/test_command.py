"""The command against the real routes of a fleet in memory."""

import contextlib
import io
import json
import unittest

from crocuskeel.core import events
from tests.ctl import fleet as fleets

TARGET = "classes.fast.max_tokens"
EDIT = f"{TARGET}=200"


class ExitCodeTest(unittest.TestCase):
    """Scripts go by the exit codes; each has its row."""

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
        for code, argv, how in rows:
            if "--wait" in argv:
                fleet.down.clear()
            with self.subTest(argv, **how):
                got, out, err = fleet.run(*argv, **how)
                self.assertEqual(code, got, out + err)
                self.assertEqual(bool(code), not out, out)
            fleet.down.add("h3")

    def test_json_has_the_failure_too(self):
        code, out, err = fleets.Fleet().run(
            "--json", "settings", "get", "nowhere", "fast")
        self.assertEqual(("", code), (err, json.loads(out)["code"]))

    def test_a_wrong_command_line_is_a_usage_error(self):
        with (self.assertRaises(SystemExit) as raised,
              contextlib.redirect_stderr(io.StringIO())):
            fleets.Fleet().run("no-such-command")
        self.assertEqual(2, raised.exception.code)


class ChangeTest(unittest.TestCase):
    """Batches from the command to the head object."""

    def test_a_conflict_shows_both_values(self):
        """Two operators race on release day.

        The second one's edit was made before the first was accepted.
        Without both values, author and time in the refusal, nobody
        could tell which is right.
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

    def test_a_lost_answer_does_not_commit_twice(self):
        """The asked host commits, then its connection breaks.

        The command asks the next host with the same batch. A second
        generation of it could undo what another operator set between.
        """
        fleet = fleets.Fleet()
        fleet.lose_answers_of.add("h1")
        code, out, _err = fleet.run(
            "settings", "edit", EDIT, "--base", "1",
            hosts="10.0.0.1:8100,10.0.0.2:8100")
        self.assertEqual(0, code)
        self.assertIn("generation 2", out)
        self.assertEqual(2, fleet.store.head().generation)

    def test_an_answer_lost_everywhere_is_called_unknown(self):
        """No host could say whether the batch was accepted.

        Reported as refused it would be sent again under a new id.
        """
        fleet = fleets.Fleet()
        fleet.lose_answers_of.add("h1")
        code, _out, err = fleet.run(
            "settings", "edit", EDIT, "--base", "1")
        self.assertEqual(6, code)
        self.assertIn("settings log", err)

    def test_a_head_write_whose_answer_was_lost_is_found_done(self):
        """The Object API takes the write, but its answer is lost."""
        fleet = fleets.Fleet()
        fleet.store.lose = 1
        code, out, err = fleet.run("settings", "edit", EDIT)
        self.assertEqual((0, ""), (code, err))
        self.assertEqual(2, fleet.store.head().generation)

    def test_an_outage_is_refused_in_bounded_time(self):
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

    def test_a_revert_does_not_undo_later_edits(self):
        """Another operator set the same value after generation 2."""
        fleet = fleets.Fleet()
        fleet.run("settings", "edit", EDIT)
        fleet.run("settings", "edit", f"{TARGET}=400")
        code, _out, err = fleet.run("settings", "revert", "2")
        self.assertEqual(1, code)
        self.assertIn("theirs: 400", err)

    def test_a_whole_file_of_an_older_generation_is_refused(self):
        """A file got before another operator's batch is applied.

        Taken as it is, it would ask to undo that batch; the operator
        must read that the file is old, and not a list of conflicts.
        """
        fleet = fleets.Fleet()
        _code, whole, _err = fleet.run("settings", "get")
        fleet.files["mine"] = whole.replace('"tier": 3', '"tier": 2')
        fleet.run("settings", "edit", EDIT)
        code, _out, err = fleet.run("settings", "apply", "--whole", "mine")
        self.assertEqual((1, 2), (code, fleet.store.head().generation))
        self.assertIn("was made from generation 1", err)


class WaitTest(unittest.TestCase):
    """``--wait`` says where a batch is in force."""

    def test_it_names_the_host_that_is_behind(self):
        """A batch is accepted, but one host is cut off from news.

        An operator who is told "done" would open the ramp while that
        host still judges by the old settings.
        """
        fleet = fleets.Fleet()
        fleet.stuck.add("h3")
        code, out, err = fleet.run("settings", "edit", EDIT, "--wait", "4")
        self.assertEqual((4, ""), (code, out))
        self.assertIn("h3: generation 1", err)
        self.assertNotIn("h2:", err)
        self.assertGreaterEqual(fleet.clock.seconds(), 4)

    def test_a_silent_host_is_behind(self):
        fleet = fleets.Fleet()
        fleet.down.add("h2")
        code, _out, err = fleet.run("settings", "edit", EDIT, "--wait")
        self.assertEqual(4, code)
        self.assertIn("h2: no host answered", err)


class DrainTest(unittest.TestCase):
    """``drain`` reaches the named host and no other."""

    def test_only_the_named_host_drains(self):
        fleet = fleets.Fleet()
        code, _out, _err = fleet.run("drain", "h2")
        fleet.clock.advance(0)
        self.assertEqual(0, code)
        self.assertEqual([("h2", events.DrainAsked())], fleet.fed)

    def test_a_reader_cannot_change(self):
        """A screen's token must not drain hosts or edit settings."""
        fleet = fleets.Fleet()
        for argv in (("drain", "h2"), ("settings", "edit", EDIT),
                     ("settings", "revert", "1")):
            code, _out, err = fleet.run(*argv, token=fleets.READER)
            self.assertEqual(1, code)
            self.assertIn("needs change", err)
        fleet.clock.advance(0)
        self.assertEqual([], fleet.fed)
        self.assertEqual(1, fleet.store.head().generation)
        self.assertEqual(0, fleet.run("status", token=fleets.READER)[0])
