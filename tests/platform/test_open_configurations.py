"""Guards against parts of a configuration that open it to any caller.

A version took the last tenant away, and hosts let in any key.
"""

import unittest

from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing
from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from tests.entry import support

ROUTE = {"Name": "r", "Host": support.HOST, "Prefix": "/a/", "Kind": "unsafe",
         "Service": "plain", "TimeoutMs": 900}
NOBODY = ([], None, [{"Name": "acme"}], [{"Name": "acme", "ApiKeys": []}],
          [{"Name": "acme", "ApiKeys": None}],
          [{"Name": "acme", "ApiKeys": [""]}])


def _catalog(route=ROUTE, **spec):
    return catalogs.catalog({
        "Meta": {"Name": "main", "Rev": 3},
        "Spec": {"Version": 2, "Routes": [route],
                 "Services": [{"Name": "plain"}], **spec}})


def _status(catalog, key, path="/a/1"):
    """Return 200, or the status of the refusal of a request."""
    resolved = routing.resolve(catalog, model.Request(
        "r1", "POST", support.HOST, path, key))
    return 200 if resolved.is_ok() else resolved.unwrap_err().status


class OpenConfigurationsTest(unittest.TestCase):
    """Which keys and paths a configuration allows."""

    def test_a_configuration_whose_tenants_hold_no_key_lets_in_nobody(self):
        for tenants in NOBODY:
            for key in ("key-acme", "never-held", ""):
                with self.subTest(tenants=tenants, key=key):
                    self.assertEqual(
                        401, _status(_catalog(Tenants=tenants), key))

    def test_a_host_forgets_the_last_tenants_key(self):
        driver = support.Driver(servers=[support.server("s1")])
        tenants = [{"Name": "acme", "ApiKeys": [support.KEY]}]
        for version, rows, status in ((2, tenants, None), (3, [], 401),
                                      (4, tenants, None)):
            driver.feed(support.events.CatalogRead(
                _catalog(Version=version, Tenants=rows)))
            out = driver.arrive(version, path="/a/1")
            found = [effect.status for effect in out
                     if hasattr(effect, "status")]
            self.assertEqual([] if status is None else [status], found)

    def test_public_routes_need_no_key(self):
        for tenants in NOBODY:
            catalog = _catalog({**ROUTE, "Public": True}, Tenants=tenants)
            self.assertEqual(200, _status(catalog, ""))

    def test_a_configuration_without_tenants_uses_no_keys(self):
        self.assertEqual(200, _status(_catalog(), ""))

    def test_a_flag_of_another_type_is_invalid(self):
        # A text like "false" opened a route, or let its requests run twice.
        for name in ("Public", "Resumable"):
            for value in ("false", "true", 0, 1, [], [0], {}):
                with self.subTest(name=name, value=value):
                    with self.assertRaises(exceptions.InvalidObjectError):
                        _catalog({**ROUTE, name: value}, Tenants=[])
            for value in (False, None):
                route = {**ROUTE, name: value}
                found = _catalog(route, Tenants=[])
                self.assertEqual(401, _status(found, ""))

    def test_a_prefix_that_would_match_other_paths_is_invalid(self):
        for prefix in ("", "a/", "/a", "a", "/a/b"):
            with self.subTest(prefix):
                with self.assertRaises(exceptions.InvalidObjectError):
                    _catalog({**ROUTE, "Prefix": prefix})

    def test_an_invalid_configuration_changes_nothing(self):
        tenants = [{"Name": "acme", "ApiKeys": [support.KEY]}]
        for part in ({"Tenants": {}}, {"Tenants": "acme"},
                     {"Tenants": [{}]}, {"Tenants": [7]},
                     {"Tenants": [{"Name": "acme", "ApiKeys": {}}]},
                     {"route": {**ROUTE, "Prefix": ""}, "Tenants": tenants},
                     {"route": {**ROUTE, "Public": "no"},
                      "Tenants": tenants}):
            with self.subTest(part):
                with self.assertRaises(exceptions.InvalidObjectError):
                    _catalog(**part)


if __name__ == "__main__":
    unittest.main()
