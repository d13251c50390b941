"""Figures of restarts in a platform outage, by who has to hold a generation.

Runs the follower reducers of 6 to 470 hosts on a virtual clock with one
in-memory store. Two ways are compared: a generation comes into force once
any two hosts hold it, as the product does, or once hosts of two failure
domains hold it. Prints one JSON object per figure: name, value, unit, n.

Run as ``python -m bench.recovery_figures``.
"""

from unittest import mock

from bench import settings_figures
from crocuskeel import conf
from crocuskeel.core.follower import adoption
from crocuskeel.core.follower import recovery
from crocuskeel.core import messages
from tests.follower import fleet as fleets

# Number of hosts and of failure domains.
SIZES = ((6, 3), (9, 4), (60, 4), (470, 8))
RACK_HOSTS = 12
OUTAGE_S = 10.0
PARTITION_S = 30
VOUCHES = (messages.SettingsVouchAsk, messages.SettingsVouch)


class Fleet(settings_figures.CountingFleet):
    """A fleet that also counts the messages of recovery, and knows the dead.

    ``sender`` is that of the message that is being handled, ``inside`` are
    the hosts of a domain that is cut off.
    """

    def __init__(self, size, domains):
        super().__init__([f"host-{number:03d}" for number in range(size)])
        self.domains = {name: number % domains
                        for number, name in enumerate(self.names)}
        self.dead = set()
        self.inside = ()
        self.recovery_messages = 0
        self.sender = ""

    def feed(self, name, event):
        self.sender = getattr(event, "sender", "")
        super().feed(name, event)

    def _do(self, name, wanted):
        self.recovery_messages += sum(
            type(getattr(effect, "message", None)) in VOUCHES
            for effect in wanted)
        super()._do(name, wanted)


def _live(daemon):
    fleet = daemon.membership.fleet
    is_inside = daemon.identity.host in fleet.inside
    return tuple(name for name in fleet.names if name not in fleet.dead
                 and (name in fleet.inside) == is_inside)


def _domain_way():
    """Return patches by which hosts of two failure domains have to hold."""
    missing = recovery.missing
    adopt = adoption.adopt_if_confirmed

    def missing_of_two_domains(daemon):
        fleet, me = daemon.membership.fleet, daemon.identity.host
        names = missing(daemon)
        if {fleet.domains[name] for name in names} <= {fleet.domains[me]}:
            return []
        return names

    def adopt_if_two_domains(daemon, held_by_peer):
        fleet, me = daemon.membership.fleet, daemon.identity.host
        is_elsewhere = fleet.domains.get(fleet.sender) != fleet.domains[me]
        return adopt(daemon, held_by_peer and is_elsewhere)

    return (mock.patch.object(recovery, "missing", missing_of_two_domains),
            mock.patch.object(adoption, "adopt_if_confirmed",
                              adopt_if_two_domains))


def _started(size, domains):
    fleet = Fleet(size, domains)
    fleet.commit(conf.document_edits(conf.empty_tree(), fleets.DOCUMENT))
    fleet.start(*fleet.names)
    for _ in range(8):
        fleet.run(fleet.now + 1.0)
        _talk(fleet)
    return fleet


def _talk(fleet, names=None):
    names = names or fleet.names
    for first, second in zip(names, names[1:] + names[:1]):
        if first in fleet.hosts and second in fleet.hosts:
            fleet.exchange(first, second)


def _share_that_serves(fleet, restarted, dead=()):
    """Return the share of restarted hosts that serve again in an outage."""
    fleet.cut = {(name, "platform") for name in fleet.names}
    fleet.recovery_messages = 0
    for name in dead:
        fleet.stop(name)
        fleet.dead.add(name)
    for name in restarted:
        fleet.stop(name)
    fleet.start(*restarted)
    fleet.run(fleet.now + OUTAGE_S)
    numbers = fleet.generations()
    return sum(numbers[name] > 0 for name in restarted) / len(restarted)


def measure_restarts(way, size, domains):
    """Emit which simultaneous restarts serve again in an outage."""
    names = [f"host-{number:03d}" for number in range(size)]
    first_domain = names[::domains]
    cases = {
        "one": (names[:1], ()),
        "two_of_one_domain": (first_domain[:2], ()),
        "two_of_two_domains": (names[:2], ()),
        "rack": (first_domain[:RACK_HOSTS], ()),
        "domain": (first_domain, ()),
        "one_beside_a_dead_one": (names[:1], names[1:2]),
        "one_beside_a_dead_one_of_its_domain": (
            first_domain[:1], first_domain[1:2]),
        "all": (names, ()),
    }
    for case, (restarted, dead) in cases.items():
        fleet = _started(size, domains)
        share = _share_that_serves(fleet, restarted, dead)
        settings_figures.emit(f"{way}_serves_{case}", share, "1", size)
        settings_figures.emit(f"{way}_messages_{case}",
                              fleet.recovery_messages / len(restarted),
                              "1/host", size)


def measure_change(way, size, domains):
    """Emit how long a change takes, also in a domain that is cut off."""
    fleet = _started(size, domains)
    fleet.adoption_s.clear()
    fleet.committed_at = fleet.now
    fleet.commit([conf.Edit(("classes", "booking", "tier"), 2)])
    for _ in range(6):
        fleet.run(fleet.now + 1.0)
        _talk(fleet)
    settings_figures.emit(f"{way}_change_max", max(fleet.adoption_s), "s",
                          size)
    inside = fleet.names[::domains]
    fleet.cut = {(first, second) for first in inside
                 for second in set(fleet.names).difference(inside)}
    fleet.commit([conf.Edit(("classes", "booking", "tier"), 3)])
    fleet.inside = frozenset(inside)
    for _ in range(PARTITION_S):
        fleet.run(fleet.now + 1.0)
        _talk(fleet, inside)
    numbers = fleet.generations()
    settings_figures.emit(
        f"{way}_change_in_a_domain_that_is_cut_off",
        sum(numbers[name] == 3 for name in inside) / len(inside), "1", size)


def main():
    """Measure both ways at all sizes."""
    common = (mock.patch("crocuskeel.core.membership.live", _live),
              mock.patch("crocuskeel.core.membership.member_info",
                         lambda daemon, host: host),
              mock.patch("crocuskeel.core.membership.died_at",
                         lambda daemon, host: daemon.membership.fleet.now))
    ways = {"any_two": (), "two_domains": _domain_way()}
    for way, patches in ways.items():
        for patch in (*common, *patches):
            patch.start()
        for size, domains in SIZES:
            measure_restarts(way, size, domains)
            measure_change(way, size, domains)
        mock.patch.stopall()


if __name__ == "__main__":
    main()
