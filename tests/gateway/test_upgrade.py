"""Hosts of this version and of the one before, in one fleet."""

import dataclasses
import unittest
import unittest.mock

from crocuskeel.core import duties
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.gateway import gossip
import msgpack
from tests.entry import support

STATE = events.Heard(
    support.peer("h1"), True, False, 3, 4, (("d", "s"),),
    (("s", 1, 2, 1, 30, (), 7),), (("s", "p", 9),), True, ("h2",), 0.5,
    wall=1.7e9, leader=duties.Leader(9, "h1", 7))


def read_as_before(data):
    """Return (name, fields) as the version before reads a state.

    It takes a peer and ten fields, and raises ValueError for others.
    """
    peer, *state = msgpack.unpackb(data, use_list=False)
    (_ready, _leaving, _catalog, _servers, _crashed, _loads, _parts,
     _reads, _carriers, _informed) = state
    return peer[0], tuple(state)


class UpgradeTest(unittest.TestCase):
    """Hosts are replaced one after the other and go on as one fleet."""

    def setUp(self):
        self.fed = []
        self.gossip = gossip.Gossip(unittest.mock.Mock(
            feed=self.fed.append))
        self.gossip.transport = unittest.mock.Mock()

    def _hear(self, data):
        self.gossip.datagramReceived(data, ("h0", 82))

    def _tell(self, event=STATE):
        self.gossip.transport.write.reset_mock()
        self.gossip.tell(effects.Tell(support.peer("h0"), event))
        calls = self.gossip.transport.write.call_args_list
        return calls[0].args[0] if calls else None

    def test_a_state_of_the_version_before_is_understood(self):
        # In the middle of an upgrade each half of the fleet took the
        # other for silent, and callers were sent to half of the hosts.
        self._hear(gossip.encode_former(STATE))
        (heard,) = self.fed
        self.assertEqual((STATE.peer, STATE.loads, 0.5), (
            heard.peer, heard.loads, heard.informed_s))
        self.assertIsNone(heard.wall)

    def test_one_of_the_version_before_gets_states_that_it_reads(self):
        with self.assertRaises(ValueError):
            read_as_before(self._tell())
        self._hear(gossip.encode_former(
            events.Heard(support.peer("h0"), True, False, 3, 4)))
        name, fields = read_as_before(self._tell())
        self.assertEqual("h1", name)
        self.assertEqual(STATE.loads, fields[5])
        self.assertIsNone(self._tell(duties.Usage("h1", 4, ())))

    def test_a_state_without_rates_names_none(self):
        # Hosts of the version that has duties and no rates were taken for
        # silent in the middle of an upgrade.
        fields = msgpack.unpackb(gossip.encode(STATE), use_list=False)
        for count in (1, 2):
            self.assertEqual(
                STATE, gossip.decode(msgpack.packb(fields[:-count])))

    def test_what_servers_name_is_told_alike_by_itself_and_in_states(self):
        rows = (("s1/7", 1.5, 30), ("s2/None", None, 0))
        leave = (("s3", "s3/9"),)
        for event in (events.HintsHeard("h1", rows, leave),
                      dataclasses.replace(STATE, rate_limits=rows,
                                          servers_leaving=leave)):
            self.assertEqual(event, gossip.decode(self._tell(event)))
        self._hear(gossip.encode_former(
            events.Heard(support.peer("h0"), True, False, 3, 4)))
        self.assertIsNone(self._tell(events.HintsHeard("h1", rows)))

    def test_once_upgraded_it_gets_all_again(self):
        former = events.Heard(support.peer("h0"), True, False, 3, 4)
        self._hear(gossip.encode_former(former))
        self._hear(gossip.encode(former))
        self.assertEqual(STATE, gossip.decode(self._tell()))

    def test_fields_of_a_later_version_are_passed_over(self):
        fields = msgpack.unpackb(gossip.encode(STATE), use_list=False)
        self.assertEqual(STATE, gossip.decode(
            msgpack.packb((*fields, "more", 7))))

    def test_other_numbers_of_fields_are_no_state(self):
        fields = msgpack.unpackb(gossip.encode(STATE), use_list=False)
        for count in (1, 5, 10, 12, 13):
            with self.subTest(fields=count), self.assertRaises(ValueError):
                gossip.decode(msgpack.packb(fields[:count]))


if __name__ == "__main__":
    unittest.main()
