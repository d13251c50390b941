"""Tests of the check that one host at a time performs the duties."""

import unittest

from tools.soak import cloud

USAGE = ("usage",)


def arrival(at, host, fence, window=None, counts=None):
    """Return a received duty call."""
    subject = ("scale", "engines", "a", True) if window is None else USAGE
    return cloud.Arrival(at, host, fence, subject, window, counts)


class SingleHolderTest(unittest.TestCase):
    """Each violation is found, and no others."""

    ROWS = (
        ("successive holders",
         (arrival(1, "a", 5), arrival(2, "a", 5), arrival(9, "b", 8)), 0),
        ("an exact repeat",
         (arrival(1, "a", 5, 7, (("hire", 2),)),
          arrival(9, "b", 8, 7, (("hire", 2),))), 0),
        ("two counts",
         (arrival(1, "a", 5, 7, (("hire", 2),)),
          arrival(9, "b", 8, 7, (("hire", 3),))), 1),
        ("two hosts with one token",
         (arrival(1, "a", 5), arrival(9, "b", 5)), 1),
        ("a token that decreases",
         (arrival(1, "a", 5), arrival(2, "b", 8), arrival(9, "a", 5)), 1),
        ("A, B, A within a lease",
         (arrival(1, "a", 5), arrival(2, "b", 8), arrival(3, "a", 9)), 1),
        ("A, B, A over more than a lease",
         (arrival(1, "a", 5), arrival(2, "b", 8), arrival(4.1, "a", 9)), 0),
        ("different holders of different subjects",
         (arrival(1, "a", 8), arrival(2, "b", 5, 7, ())), 0),
    )

    def test_each_sequence_of_calls(self):
        for name, arrivals, count in self.ROWS:
            with self.subTest(name):
                found = cloud.faults_of_one(arrivals, 3.0)
                self.assertEqual(count, len(found), found)


if __name__ == "__main__":
    unittest.main()
