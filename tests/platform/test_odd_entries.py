"""Odd entries of other writers in each kind that hosts read."""

import json
import unittest

from crocuskeel import decoding
from tests import odd_forms
from tests.platform import test_foreign_entries as foreign

ROUTE = {"Name": "r", "Host": "h", "Prefix": "/a/", "Kind": "safe",
         "Service": "plain", "TimeoutMs": 900}
CONFIG = {"Meta": {"Name": "main", "Rev": 3},
          "Spec": {"Version": 2, "Routes": [ROUTE], "Services": [
              {"Name": "plain", "MaxConns": 5}]}}

NEAR_LIMIT = tuple(map(odd_forms.nested, range(900, 1_000)))


class DepthTest(unittest.TestCase):
    """Guards against values that are decoded here and fail elsewhere."""

    def test_deep_name_in_a_change_ends_no_watch(self):
        # The name is written to the log.
        for text in (*odd_forms.DEEP, *NEAR_LIMIT):
            with self.subTest(text[:9], size=len(text)):
                host = foreign._Host()
                host.start(self)
                host.answer(foreign._page(foreign.GOOD))
                host.answer(foreign._changes(
                    6, '{"Meta": {"Name": %s}}' % text, foreign.DRAINING))
                self.assertNotIn("follower_died", host.log_lines)
                self.assertEqual({"i-1": True}, host.known())

    def test_configuration_with_a_deep_field_is_passed_on(self):
        # Hosts that don't read the store got no snapshot at all.
        for text in (*odd_forms.DEEP, *NEAR_LIMIT):
            with self.subTest(text[:9], size=len(text)):
                found = decoding.loads((json.dumps(CONFIG)[:-1] + (
                    ', "Other": %s}' % text)).encode())
                self.assertEqual(CONFIG["Spec"], found["Spec"])
                self.assertEqual(found, self._encoded(found, 50))

    def _encoded(self, value, calls):
        """Return what another host reads, encoded some calls further down."""
        if calls:
            return self._encoded(value, calls - 1)
        return json.loads(json.dumps(value))


if __name__ == "__main__":
    unittest.main()
