"""The soak's checks catch what they are for."""

import unittest

from tools.soak import checks

WHOLE = b"".join(b"id: %d\ndata: r1\n\n" % n for n in range(1, 13))


class JudgeTest(unittest.TestCase):
    """Each promise, broken on purpose."""

    def test_broken_promises(self):
        rows = (
            ("another's answer", "safe", 200, b"answer to r2", ["s"]),
            ("half a stream", "stream", 200, WHOLE[:60], ["s"]),
            ("an event twice", "stream", 200,
             b"id: 1\ndata: r1\n\n" + WHOLE, ["s"]),
            ("not run, and ran", "unsafe", 503, b"", ["s"]),
            ("ran twice", "unsafe", 502, b"", ["s", "t"]),
            ("ran too often", "safe", 200, b"answer to r1",
             ["s", "t", "u"]),
        )
        for name, kind, status, body, runs in rows:
            with self.subTest(name):
                self.assertNotEqual([], checks.judge(
                    kind, "r1", status, body, runs))

    def test_kept_promises(self):
        rows = (
            ("stream", 200, WHOLE, ["s", "t"]),
            ("safe", 200, b"answer to r1", ["s", "t"]),
            ("unsafe", 200, b"answer to r1", ["s"]),
            ("unsafe", 502, b"", ["s"]), ("unsafe", 503, b"", []),
            ("stream", 0, b"", ["s"]))
        for kind, status, body, runs in rows:
            self.assertEqual([], checks.judge(
                kind, "r1", status, body, runs))
