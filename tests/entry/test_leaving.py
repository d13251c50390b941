"""What hosts tell each other while some of them are stopping."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from tests.entry import support

OTHERS = tuple("abcdefg")
SERVERS = (support.server("i-1"), support.server("i-2"))


def heard(name, leaving=False):
    """Return the event of another host's state."""
    return events.PeerStateReceived(
        support.peer(name), not leaving, leaving, 10, 5, catalog_version=10)


class Fleet(support.Driver):
    """A host that hears some others, of which some are leaving."""

    def __init__(self, others=OTHERS, **kwargs):
        super().__init__(support.route(kind=model.Kind.STREAM),
                         servers=SERVERS, **kwargs)
        self.others = dict.fromkeys(others, False)
        self.feed(events.PeersListed(tuple(map(support.peer, others))))
        self.tick(0.0)

    def tick(self, after=0.3):
        """Hear the others' states and feed a tick; return its effects."""
        replies = [effect for name, leaving in self.others.items()
                   for effect in self.feed(heard(name, leaving))]
        return replies + self.feed(events.Ticked(), after)


def told(out, kind=events.PeerStateReceived):
    """Return what is sent to others, by name."""
    return {effect.peer.name: effect.event for effect in
            support.effects_of(out, effects.SendToPeer)
            if type(effect.event) is kind}


class LeavingTest(unittest.TestCase):
    """Guards against hosts that know too late, or too little, of a stop."""

    def test_all_serving_hosts_hear_at_once_of_a_stop(self):
        # They named it to callers until its reply to their next state.
        states = told(Fleet().feed(events.StopAsked()))
        self.assertEqual(set(OTHERS), set(states))
        self.assertTrue(all(state.leaving for state in states.values()))

    def test_more_serving_hosts_than_are_told_each_time_hear_of_a_stop(self):
        others = tuple(f"h{number}" for number in range(20))
        driver = Fleet(others)
        self.assertEqual(set(others), set(told(
            driver.feed(events.StopAsked()))))
        self.assertEqual(fleet.MAX_FANOUT, len(told(driver.tick())))

    def test_requests_of_a_stopping_host_count_at_others(self):
        # Others took its requests to have ended 1 s after the stop, and
        # sent more to their engines.
        driver = Fleet()
        driver.arrive(deadline_s=60.0)
        driver.feed(events.StopAsked())
        for _ in range(10):
            states = told(driver.tick())
            self.assertEqual(set(OTHERS), set(states))
            self.assertTrue(all(
                sum(row[1] for row in state.loads) == 1
                for state in states.values()))

    def test_stopping_host_hears_of_others_requests(self):
        driver = Fleet()
        driver.others["a"] = True
        driver.arrive(deadline_s=60.0)
        states = told(driver.tick())
        self.assertEqual(set(OTHERS), set(states))
        self.assertEqual(1, sum(row[1] for row in states["a"].loads))

    def test_hosts_that_all_stop_at_once_tell_each_other(self):
        driver = Fleet()
        driver.feed(events.StopAsked())
        driver.others = dict.fromkeys(OTHERS, True)
        for _ in range(4):
            states = told(driver.tick())
        self.assertEqual(set(OTHERS), set(states))

    def test_host_that_has_left_is_told_nothing(self):
        driver = Fleet()
        driver.feed(heard("a", True))
        del driver.others["a"]
        for _ in range(5):
            driver.tick()
        self.assertNotIn("a", told(driver.tick()))


class WokenTest(unittest.TestCase):
    """Guards against hosts that name only themselves after a pause.

    Callers leave hosts that aren't named, so that all came to the woken one.
    """

    PAUSE_S = 5.0

    def _addresses(self, driver, after=0.0):
        driver.now += after
        return set(fleet.caller_addresses(driver.host, driver.now))

    def test_woken_host_names_the_others_before_it_hears_them(self):
        driver = Fleet()
        driver.tick()
        named = self._addresses(driver)
        self.assertEqual(1 + len(OTHERS), len(named))
        # What came meanwhile may be handled before the late tick.
        self.assertEqual(named, self._addresses(driver, self.PAUSE_S))
        driver.feed(events.Ticked())
        self.assertEqual(named, self._addresses(driver, 0.2))
        for name in OTHERS:
            driver.feed(heard(name))
        driver.feed(events.Ticked(), 0.6)
        self.assertEqual(named, self._addresses(driver))

    def test_others_that_stay_silent_are_not_named_for_long(self):
        driver = Fleet()
        driver.tick()
        driver.feed(events.Ticked(), self.PAUSE_S)
        for _ in range(2):
            driver.feed(events.Ticked(), 0.3)
        self.assertEqual({"me:80"}, self._addresses(driver))

    def test_others_that_were_silent_before_are_not_named(self):
        driver = Fleet()
        for _ in range(5):
            driver.feed(events.Ticked(), 0.3)
        driver.feed(events.Ticked(), self.PAUSE_S)
        self.assertEqual({"me:80"}, self._addresses(driver))

    def test_others_that_left_meanwhile_are_not_named(self):
        driver = Fleet()
        driver.tick()
        driver.feed(heard("a", True), self.PAUSE_S)
        self.assertNotIn("a:80", self._addresses(driver))
        self.assertIn("b:80", self._addresses(driver))


if __name__ == "__main__":
    unittest.main()
