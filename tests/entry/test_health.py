"""What is believed of servers that can't be reached."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"))


class RefusedTest(unittest.TestCase):
    """A server whose host takes no connection."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)
        self.driver.feed(events.Heard(
            support.peer(), True, False, 10, 5, reads_store=True))
        self.host = self.driver.host

    def _sid(self, key):
        return self.host.pending[key].tries[-1].sid

    def test_other_hosts_hear_of_it_at_once(self):
        # Eight engines crash. Six hosts each found out by themselves,
        # several requests at a time: 661 sends to nobody in four seconds.
        self.driver.arrive()
        sid = self._sid(1)
        out = self.driver.feed(events.Broken(
            1, 0, model.Outcome.REFUSED, "refused"), 0.01)
        (told,) = [effect.event for effect
                   in support.only(out, effects.Tell)]
        self.assertEqual((sid,), told.refused)

    def test_what_others_say_is_believed_by_who_has_no_request_there(self):
        # A host that is cut off from a server finds it refusing, too;
        # one that hears answers from there knows better.
        self.driver.arrive()
        mine = self._sid(1)
        other = ({"s1", "s2"} - {mine}).pop()
        self.driver.feed(events.LoadHeard("host-1", (), ("s1", "s2")))
        self.assertEqual(0.0, self.host.servers[mine].suspect_until)
        self.assertLess(self.driver.now,
                        self.host.servers[other].suspect_until)

    def test_a_server_whose_address_is_another_s_is_not_asked_again(self):
        # A crashed engine's address is used by a new one at once; the old
        # entry stays for seconds and drew 409 requests, as it held what
        # they needed.
        self.driver.arrive()
        sid = self._sid(1)
        self.driver.feed(events.Broken(
            1, 0, model.Outcome.MISDIRECTED, "421"), 0.01)
        self.driver.now += 30.0
        for key in range(2, 12):
            self.driver.arrive(key)
            self.assertNotEqual(sid, self._sid(key))
        # Another host's list brings the entry once more, unchanged.
        self.driver.feed(events.ServersListed(PAIR, 9, ()))
        self.assertTrue(self.host.servers[sid].misdirects)
        self.driver.feed(events.ServersChanged(
            (support.server(sid, slots=9),), (), 10))
        self.assertFalse(self.host.servers[sid].misdirects)

    def test_a_new_entry_at_an_address_ends_the_old_one(self):
        # A crashed engine is back under another id before its old entry
        # lapses; what was sent to the old one met the new.
        new = support.server("s3", address=("10.0.0.1", 99))
        old = support.server("s1", address=("10.0.0.1", 99))
        self.driver.feed(events.ServersChanged((old,), (), 8))
        self.driver.feed(events.ServersChanged((new,), (), 9))
        self.assertTrue(self.host.servers["s1"].misdirects)
        self.assertFalse(self.host.servers["s3"].misdirects)
