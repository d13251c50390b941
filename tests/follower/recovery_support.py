"""A fleet whose hosts restart and die, and a check that none goes back."""

import unittest
from unittest import mock

from crocuskeel import conf
from crocuskeel.core import follower
from tests.follower import fleet as fleets

__all__ = ["CheckedFleet", "FIRST", "IN_FORCE_S", "RecoveryCase", "edit",
           "names_of"]

FIRST = conf.document_edits(conf.empty_tree(), fleets.DOCUMENT)
IN_FORCE_S = 4.0


def edit(tier):
    """Return a batch of edits that sets the tier of a class."""
    return [conf.Edit(("classes", "booking", "tier"), tier)]


def names_of(size):
    """Return the names of the hosts of a fleet."""
    return tuple(f"h{number}" for number in range(size))


class CheckedFleet(fleets.Fleet):
    """A fleet in which no host may put an older generation in force."""

    def __init__(self, names, **kwargs):
        super().__init__(names, **kwargs)
        self.newest_in_force = {}
        self.dead = {}

    def feed(self, name, event):
        super().feed(name, event)
        number = follower.generation(self.hosts[name])
        newest = self.newest_in_force.get(name, 0)
        if number and number < newest:
            raise AssertionError(f"{name} went back to {number} from {newest}"
                                 f" at {self.now:.3f} by {event}")
        self.newest_in_force[name] = max(number, newest)

    def kill(self, name):
        """End a host; the others know at once that it is dead."""
        self.stop(name)
        self.dead[name] = self.now


def _live(daemon):
    fleet = daemon.membership.fleet
    return tuple(name for name in fleet.names if name not in fleet.dead)


def _died_at(daemon, host):
    return daemon.membership.fleet.dead.get(host)


class RecoveryCase(unittest.TestCase):
    """Tests of fleets whose hosts restart in an outage."""

    def setUp(self):
        for name, function in (("live", _live), ("died_at", _died_at),
                               ("member_info", lambda daemon, host: host)):
            patch = mock.patch(f"crocuskeel.core.membership.{name}", function)
            patch.start()
            self.addCleanup(patch.stop)

    def started(self, size):
        """Return a fleet of ``size`` hosts with generation 1 in force."""
        fleet = CheckedFleet(names_of(size))
        fleet.commit(FIRST)
        fleet.start(*fleet.names)
        fleet.run(8.0)
        return fleet

    def change_seen_by(self, fleet, *holders):
        """Put a change in force on some hosts; an outage begins then."""
        others = [name for name in fleet.names if name not in holders]
        fleet.cut = {(name, "platform") for name in others}
        fleet.cut |= {(first, second) for first in holders
                      for second in others}
        fleet.commit(edit(2))
        fleet.run(fleet.now + IN_FORCE_S)
        for name in holders:
            for other in holders:
                if other != name:
                    fleet.exchange(other, name)
        self.assertEqual({2}, {fleet.generations()[name]
                               for name in holders})
        self.begin_outage(fleet)

    def begin_outage(self, fleet):
        """Cut all hosts off from the platform."""
        fleet.cut = {(name, "platform") for name in fleet.names}

    def talk(self, fleet, seconds):
        """Advance the clock while each host hears from the next one."""
        for _ in range(seconds):
            for name in fleet.hosts:
                peer = fleet.names[(fleet.names.index(name) + 1)
                                   % len(fleet.names)]
                if peer in fleet.hosts:
                    fleet.exchange(peer, name)
            fleet.run(fleet.now + 1)
