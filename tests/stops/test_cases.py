"""Hosts that are stopped beside callers that keep their addresses."""

from concurrent import futures
import unittest

from tests.stops import cases

SEED = 1
# Cases that are played at the same time.
AT_A_TIME = 8


class CasesTest(unittest.TestCase):
    """Guards against stops that lose requests, or end in a kill."""

    @classmethod
    def setUpClass(cls):
        with futures.ThreadPoolExecutor(AT_A_TIME) as pool:
            names = (*cases.FLEETS, *cases.CASES)
            cls.results = dict(zip(names, pool.map(
                lambda name: cases.play(name, SEED), names)))

    def test_nothing_is_lost(self):
        for name, result in self.results.items():
            with self.subTest(name):
                self.assertTrue(result.counts["before"])
                self.assertEqual(0, result.counts["lost"], result)

    def test_refused_requests_are_not_run(self):
        for name, result in self.results.items():
            with self.subTest(name):
                self.assertEqual(0, result.counts["run_and_refused"], result)

    def test_hosts_end_by_themselves_and_in_time(self):
        for name, result in self.results.items():
            with self.subTest(name):
                self.assertTrue(result.ended_in_order, result)


if __name__ == "__main__":
    unittest.main()
