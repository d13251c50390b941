"""What the soak finds wrong with who acts for the duties."""

import unittest

from tools.soak import cloud

USAGE = ("usage",)


def call(at, host, fence, window=None, counts=None):
    """Return a call as it arrived."""
    subject = ("scale", "engines", "a", True) if window is None else USAGE
    return cloud.Arrival(at, host, fence, subject, window, counts)


class OneTest(unittest.TestCase):
    """Each broken order is found, and nothing else."""

    ROWS = (
        ("one holder after the other",
         (call(1, "a", 5), call(2, "a", 5), call(9, "b", 8)), 0),
        ("an exact repeat",
         (call(1, "a", 5, 7, (("hire", 2),)),
          call(9, "b", 8, 7, (("hire", 2),))), 0),
        ("two counts",
         (call(1, "a", 5, 7, (("hire", 2),)),
          call(9, "b", 8, 7, (("hire", 3),))), 1),
        ("two hosts with one number",
         (call(1, "a", 5), call(9, "b", 5)), 1),
        ("a number that goes back",
         (call(1, "a", 5), call(2, "b", 8), call(9, "a", 5)), 1),
        ("A, B, A within a span",
         (call(1, "a", 5), call(2, "b", 8), call(3, "a", 9)), 1),
        ("A, B, A over more than a span",
         (call(1, "a", 5), call(2, "b", 8), call(4.1, "a", 9)), 0),
        ("other subjects have holders of their own",
         (call(1, "a", 8), call(2, "b", 5, 7, ())), 0),
    )

    def test_each_order(self):
        for name, arrivals, count in self.ROWS:
            with self.subTest(name):
                found = cloud.faults_of_one(arrivals, 3.0)
                self.assertEqual(count, len(found), found)


if __name__ == "__main__":
    unittest.main()
