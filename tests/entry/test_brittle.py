"""Each host keeps to its share of the slots of brittle servers."""

import unittest

from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from tests.entry import support

CALL = support.route(kind=model.Kind.UNSAFE, max_servers=1)
STREAM = support.stream()
SLOTS = 6


class _Driver(support.Driver):
    """A host among others, with servers of two services."""

    def __init__(self, name="h0", hosts=3, servers=2, slots=SLOTS):
        super().__init__(CALL, STREAM, name=name, servers=[
            support.server(f"{kind[0]}{number}", kind, slots=slots)
            for kind in ("plain", "engines") for number in range(servers)])
        self.last_key = 0
        self.peers = [support.peer(f"h{number}") for number in range(hosts)]
        self.feed(events.PeersListed(tuple(self.peers)))
        for peer in self.peers:
            self.hear(peer)
        self.now += fleet.SERVING_CACHE_S

    def hear(self, peer, services=()):
        """Receive the state of another host."""
        self.feed(events.PeerStateReceived(
            peer, True, False, 10, 5, catalog_version=10, brittle=services))

    def send(self, path="/booking/1", **kwargs):
        """Send a request; return whether it goes to a server at once."""
        self.last_key += 1
        out = self.arrive(self.last_key, path=path, digest=str(self.last_key),
                          **kwargs)
        return bool(support.effects_of(out, effects.SendRequest))

    def say(self, is_brittle=True, key=None):
        """Receive the head of a response; return the effects."""
        return self.feed(events.HintsReceived(
            key or self.last_key, 0, model.Hints(brittle=is_brittle)))

    def places(self):
        """Return how many requests the host sends at once."""
        return sum(self.send() for _ in range(40))


def _learned(**kwargs):
    driver = _Driver(**kwargs)
    other = driver.peers[1 if driver.peers[0] == driver.host.self_peer else 0]
    driver.hear(other, (("plain", 0),))
    return driver


class QuotaTest(unittest.TestCase):
    """How many requests the hosts send to brittle servers."""

    def test_hosts_together_never_exceed_the_slots(self):
        for hosts in (1, 2, 3, 4, 5, 6):
            total = sum(_learned(name=f"h{number}", hosts=max(2, hosts)
                                 ).places() for number in range(hosts))
            with self.subTest(hosts=hosts):
                self.assertLessEqual(total, 2 * SLOTS)
                if hosts > 1:
                    self.assertEqual(2 * SLOTS, total)

    def test_each_of_many_hosts_serves_its_callers(self):
        found = [_learned(name=f"h{number}", hosts=20).places()
                 for number in range(20)]
        self.assertGreaterEqual(min(found), 1)
        self.assertLessEqual(sum(found), 2 * SLOTS + len(found) / 2)

    def test_servers_that_are_not_brittle_are_not_limited(self):
        self.assertEqual(40, _Driver().places())

    def test_request_waits_for_a_place_and_is_not_refused_at_once(self):
        driver = _learned()
        while driver.send():
            pass
        waiting = driver.last_key
        self.assertIn(waiting, driver.host.held)
        driver.feed(events.ResponseReceived(1, 0, 200, None, True))
        out = driver.feed(events.TimerFired(waiting), 0.05)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_request_that_gets_no_place_is_refused_as_not_run(self):
        driver = _learned()
        while driver.send():
            pass
        out = driver.feed(events.TimerFired(driver.last_key), 0.3)
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_delay_s, 0.0)

    def test_server_that_has_just_started_counts_too(self):
        # It has not answered yet, and many requests wait for it.
        driver = _learned(servers=1)
        driver.feed(events.ServersChanged(
            (support.server("p9", slots=SLOTS),), ("p0",), 6))
        self.assertEqual(SLOTS // 3, driver.places())

    def test_prompts_are_left_to_admission_control(self):
        driver = _Driver()
        driver.hear(driver.peers[1], (("engines", 0),))
        self.assertEqual(6, sum(driver.send(
            "/advice/1", prompt=support.prompt(shared=0, own=20),
            deadline_s=8.0) for _ in range(6)))


class LearningTest(unittest.TestCase):
    """How hosts learn that a service is brittle."""

    def test_response_says_so_and_others_are_told_once(self):
        driver = _Driver()
        driver.send()
        out = driver.say()
        told = {sent.peer.name for sent in support.effects_of(
            out, effects.SendToPeer)}
        self.assertEqual({"h1", "h2"}, told)
        self.assertEqual((("plain", 0),), brittle.rows(driver.host,
                                                       driver.now))
        driver.send()
        self.assertEqual([], support.effects_of(
            driver.say(), effects.SendToPeer))

    def test_it_ends_some_time_after_the_last_response_that_said_so(self):
        driver = _learned()
        driver.now += brittle.TTL_S
        self.assertEqual(40, driver.places())
        driver.feed(events.Ticked())
        self.assertEqual({}, driver.host.brittle)

    def test_hosts_do_not_renew_it_for_each_other(self):
        driver = _learned()
        for _ in range(40):
            driver.now += 0.3
            driver.hear(driver.peers[1], brittle.rows(
                driver.host, driver.now))
        self.assertEqual((), brittle.rows(driver.host, driver.now))


if __name__ == "__main__":
    unittest.main()
