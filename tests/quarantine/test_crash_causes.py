"""Which requests count as causes of crashes."""

import random
import unittest

from crocuskeel.core import crash_causes


def _attribute(*crashes):
    causes = crash_causes.attribute([set(crash) for crash in crashes])
    return causes.culprits, set(causes.suspects)


class AttributeTest(unittest.TestCase):
    """Each crash is a string of the requests that were in progress."""

    def test_causes_and_suspects(self):
        rows = (
            ("one crash", ("pab",), {}, ""),
            ("two crashes, one request in both", ("pab", "pcd"), {"p": 2}, ""),
            ("two requests in both", ("pab", "pac"), {}, "pa"),
            ("the third tells them apart", ("pab", "pac", "pd"), {"p": 3}, ""),
            ("in two of three crashes of another's", ("pa", "pa", "pb", "bc"),
             {"p": 3}, ""),
            ("two causes", ("pa", "pb", "qc", "qd"), {"p": 2, "q": 2}, ""),
            ("overlapping", ("p", "pi", "i"), {}, "pi"),
            ("two that share a crash", ("a", "a", "b", "b", "ab"),
             {"a": 3, "b": 3}, ""),
            ("three that share crashes", ("a", "ab", "b", "bc", "c", "ca"),
             {}, "abc"),
            ("one of these alone", ("a", "ab", "b", "bc", "c", "ca", "a"),
             {"a": 4}, "bc"),
            ("alone twice beside one in more", ("ai", "bi", "bi", "ai",
                                                "a", "a"),
             {"a": 4}, "bi"),
            ("together in four", ("pi", "pi", "pi", "pi"), {}, "pi"),
            ("together in four, one in five", ("pi", "pi", "pi", "pi", "p"),
             {"p": 5}, ""),
        )
        for name, crashes, culprits, suspects in rows:
            with self.subTest(name):
                self.assertEqual((culprits, set(suspects)),
                                 _attribute(*crashes))

    def test_request_that_a_cause_excuses_but_for_one_crash(self):
        # It counted as harmless, and all copies that had waited ran at once.
        for crashes, expected in (
                (("pa", "pa", "p", "p", "a"), {"a": 3}),
                (("pa", "pa", "p"), {}), (("pa", "p", "p", "a"), {"a": 2}),
                (("p", "p", "a"), {})):
            with self.subTest(crashes):
                causes = crash_causes.attribute(map(set, crashes))
                self.assertEqual({"p"}, causes.culprits.keys())
                self.assertEqual({}, causes.suspects)
                self.assertEqual(expected, causes.partly_excused)

    def test_harmless_request_in_the_crashes_of_two_excuses_neither(self):
        # It was in more crashes than either cause, and both ran on.
        culprits, suspects = _attribute("ai", "ai", "bi", "bi")
        self.assertLessEqual({"a", "b"}, culprits.keys() | suspects)

    def test_requests_beside_a_crashing_one_are_no_causes(self):
        # A request that many callers send is in progress in several crashes
        # that another one causes, and was refused for a minute.
        for seed in range(300):
            rng = random.Random(seed)
            others = range(rng.randrange(1, 40))
            crashes = []
            for _ in range(rng.randrange(1, 7)):
                beside = rng.sample(others, rng.randrange(len(others) + 1))
                crashes.append({"p", *beside})
            causes = crash_causes.attribute(crashes)
            with self.subTest(seed=seed):
                most_shared = max((sum(
                    other in crash for crash in crashes)
                    for other in others), default=0)
                if most_shared < len(crashes):
                    self.assertLessEqual(set(causes.culprits), {"p"})
                if 2 <= len(crashes) > most_shared:
                    self.assertEqual({"p": len(crashes)}, causes.culprits)
                    self.assertEqual({}, causes.suspects)


if __name__ == "__main__":
    unittest.main()
