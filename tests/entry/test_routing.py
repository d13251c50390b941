"""Which route, workspace and service a request belongs to."""

import unittest

from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing
from tests.entry import support


class PlaceTest(unittest.TestCase):
    """Placing requests."""

    def test_longest_prefix_wins(self):
        found = support.catalog(
            support.route("a", prefix="/a/"),
            support.route("ab", prefix="/a/b/"))
        for path, name in (("/a/x", "a"), ("/a/b/x", "ab"),
                           ("/a/b", "a"), ("/a/b/?q=/", "ab")):
            placed = routing.place(found, support.request(path)).unwrap()
            self.assertEqual(name, placed.route.name, path)

    def test_refusals(self):
        found = support.catalog(
            support.route("a"), support.route("open", public=True))
        stranger = model.Request("r", "GET", support.HOST, "/a/x", "no")
        elsewhere = model.Request("r", "GET", "other", "/a/x", "no")
        public = model.Request("r", "GET", support.HOST, "/open/x")
        self.assertEqual(
            401, routing.place(found, stranger).unwrap_err().status)
        self.assertEqual(
            404, routing.place(found, elsewhere).unwrap_err().status)
        self.assertTrue(routing.place(found, public).is_ok())

    def test_split_follows_the_weights(self):
        found = support.catalog(support.route(
            "a", split=(("old", 90), ("new", 10))))
        went = [routing.place(found, support.request(
            "/a/x", rid=f"r{n}")).unwrap().service for n in range(1000)]
        self.assertAlmostEqual(100, went.count("new"), delta=35)

    def test_workspace_priority_goes_first(self):
        found = support.catalog(support.route("a", priority=2))
        found.api_keys[support.KEY] = model.Workspace("w", 0)
        placed = routing.place(found, support.request("/a/x")).unwrap()
        self.assertEqual(0, placed.priority)
