"""The store of simulated hosts with duties: it holds the lease object."""

from crocuskeel.core.entry import events
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.core import revisions

Status = lease_events.Status
# One-way delay between two processes, and the timeout of a call, s.
DELAY_S = 0.002
TIMEOUT_S = 1.0


class LeaseStore:
    """A store that may be restored from an older copy.

    Its users provide ``now``, ``rng``, ``hosts``, ``at`` and ``_answer``. As
    the platform's, it compares numbers of revisions only; the hosts' client
    adds the era, and refuses to write to a revision of a former one.
    """

    def __init__(self):
        # The number of the last change, and the era.
        self.version = 100
        self.era = 1
        # The number of the lease object, and its content.
        self.lease = None
        # (time, number, lease object) since the last restore.
        self.history = []
        self.store_down = False

    def _read(self, host):
        if host.store != "well" or self.store_down:
            self._answer(host, TIMEOUT_S, lease_events.LeaseRead(
                Status.UNAVAILABLE))
            return
        self._see_era(host)
        if self.lease is None:
            event = lease_events.LeaseRead(Status.NOT_FOUND,
                                           self._revision(0))
        else:
            number, body = self.lease
            event = lease_events.LeaseRead(
                Status.FOUND, self._revision(number), body)
        self._answer(host, 2 * DELAY_S, event)

    def _revision(self, number):
        return revisions.combine(self.era, number)

    def _see_era(self, host):
        """Report an era that a host sees in an answer for the first time."""
        if host.era < self.era:
            host.era = self.era
            self._answer(host, DELAY_S, events.StoreEraSeen(self.era))

    def _write(self, host, effect):
        def answer(status, version=0, delay=2 * DELAY_S):
            self._answer(host, delay, lease_events.LeaseWritten(
                effect.nonce, effect.number, status, version))

        if host.era > revisions.era(effect.version):
            answer(Status.CONFLICT)
        elif host.store == "out" or self.store_down:
            answer(Status.UNKNOWN, delay=TIMEOUT_S)
        elif host.store == "late":
            self.at(2.0, lambda: self._apply(effect))
            answer(Status.UNKNOWN, delay=TIMEOUT_S)
        elif host.store == "lost":
            self._apply(effect)
            answer(Status.UNKNOWN, delay=TIMEOUT_S)
        else:
            self._see_era(host)
            if self._apply(effect):
                answer(Status.WRITTEN, self._revision(self.version))
            else:
                answer(Status.CONFLICT)

    def _apply(self, effect):
        """Write the lease if its condition holds."""
        current = self.lease[0] if self.lease else 0
        if self.store_down or current != revisions.number(effect.version):
            return False
        self.version += 1
        self.lease = self.version, effect.body
        self.history.append((self.now, self.version, self.lease))
        return True

    def restore_store(self, age_s, away_s=0.5):
        """Stop the store; ``away_s`` later it is back from an older copy.

        The copy was taken ``age_s`` before it stopped. Hosts that reach the
        store see the new era some tenths of a second after its return.
        """
        taken_at = self.now - age_s
        self.store_down = True

        def restore():
            rows = [row for row in self.history if row[0] <= taken_at]
            self.version, self.lease = rows[-1][1:] if rows else (100, None)
            self.history = rows
            self.era += 1
            self.store_down = False
            for host in self.hosts.values():
                self.at(self.rng.uniform(0.05, 0.5),
                        lambda host=host: self._watch(host))

        self.at(away_s, restore)

    def _watch(self, host):
        """Have a host's watch of other objects answered."""
        if host.dead or host.store != "well" or self.store_down:
            self.at(1.0, lambda: self._watch(host))
        else:
            self._see_era(host)
