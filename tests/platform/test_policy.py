"""The settings file of the capacity policy."""

import pathlib
import unittest

from crocuskeel.core.duties import capacity
from crocuskeel.programs import policy

EXAMPLE = (pathlib.Path(__file__).resolve().parents[2]
           / "examples" / "capacity.jsonc")


class PolicyTest(unittest.TestCase):
    """Valid files, and the id of each error."""

    def test_example_file_equals_the_defaults(self):
        self.assertEqual(capacity.Policy(),
                         policy.parse_policy(EXAMPLE.read_text()))

    def test_missing_settings_keep_their_defaults(self):
        found = policy.parse_policy("{use_share: 0.5, /* more */}")
        self.assertEqual(capacity.Policy(use_share=0.5), found)

    def test_errors(self):
        rows = (
            ("{", ["E001"]), ("[]", ["E002"]), ("{headroom: 1}", ["E003"]),
            ("{use_share: 0, spot_share: '1', kept_s: true}",
             ["E004", "E004", "E004"]),
            ("{use_share: 0.95}", ["E005"]),
        )
        for text, ids in rows:
            with self.subTest(text=text):
                with self.assertRaises(policy.InvalidPolicyError) as caught:
                    policy.parse_policy(text)
                self.assertEqual(
                    ids, [fault.id.removeprefix("capacity.")
                          for fault in caught.exception.errors])


if __name__ == "__main__":
    unittest.main()
