"""Tests how the route, workspace and service of a request are resolved."""

import unittest

from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing
from tests.entry import support


class ResolveTest(unittest.TestCase):
    """Resolving requests."""

    def test_longest_prefix_wins(self):
        catalog = support.catalog(
            support.route("a", prefix="/a/"),
            support.route("ab", prefix="/a/b/"))
        for path, name in (("/a/x", "a"), ("/a/b/x", "ab"),
                           ("/a/b", "a"), ("/a/b/?q=/", "ab")):
            resolved = routing.resolve(
                catalog, support.request(path)).unwrap()
            self.assertEqual(name, resolved.route.name, path)

    def test_refusals(self):
        catalog = support.catalog(
            support.route("a"), support.route("open", public=True))
        unknown_key = model.Request("r", "GET", support.HOST, "/a/x", "no")
        unknown_host = model.Request("r", "GET", "other", "/a/x", "no")
        public = model.Request("r", "GET", support.HOST, "/open/x")
        self.assertEqual(
            401, routing.resolve(catalog, unknown_key).unwrap_err().status)
        self.assertEqual(
            404, routing.resolve(catalog, unknown_host).unwrap_err().status)
        self.assertTrue(routing.resolve(catalog, public).is_ok())

    def test_split_follows_the_weights(self):
        catalog = support.catalog(support.route(
            "a", split=(("old", 90), ("new", 10))))
        services = [routing.resolve(catalog, support.request(
            "/a/x", rid=f"r{n}")).unwrap().service for n in range(1000)]
        self.assertAlmostEqual(100, services.count("new"), delta=35)

    def test_workspace_priority_overrides_the_routes(self):
        catalog = support.catalog(support.route("a", priority=2))
        catalog.api_keys[support.KEY] = model.Workspace("w", 0)
        resolved = routing.resolve(catalog, support.request("/a/x")).unwrap()
        self.assertEqual(0, resolved.priority)
