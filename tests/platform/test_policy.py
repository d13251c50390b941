"""Our own settings of how engines are ordered."""

import pathlib
import unittest

from crocuskeel.core.duties import capacity
from crocuskeel.programs import policy

EXAMPLE = (pathlib.Path(__file__).resolve().parents[2]
           / "examples" / "capacity.jsonc")


class PolicyTest(unittest.TestCase):
    """Good files, and every fault with its id."""

    def test_the_example_holds_the_defaults(self):
        self.assertEqual(capacity.Policy(),
                         policy.read_policy(EXAMPLE.read_text()))

    def test_what_is_left_out_keeps_its_default(self):
        found = policy.read_policy("{use_share: 0.5, /* more */}")
        self.assertEqual(capacity.Policy(use_share=0.5), found)

    def test_faults(self):
        rows = (
            ("{", ["E001"]), ("[]", ["E002"]), ("{headroom: 1}", ["E003"]),
            ("{use_share: 0, spot_share: '1', kept_s: true}",
             ["E004", "E004", "E004"]),
            ("{use_share: 0.95}", ["E005"]),
        )
        for text, ids in rows:
            with self.subTest(text=text):
                with self.assertRaises(policy.BadPolicy) as caught:
                    policy.read_policy(text)
                self.assertEqual(
                    ids, [fault.id.removeprefix("capacity.")
                          for fault in caught.exception.faults])


if __name__ == "__main__":
    unittest.main()
