"""Requests that wait at other hosts, and when a host reports its own."""

import random
import unittest

from crocuskeel.core.scheduling import fleet_demand

SERVICES = ("engines", "plain")
ROUTES = (("chat", 0), ("middle", 1), ("batch", 2))


class DemandTest(unittest.TestCase):
    """Totals of what other hosts report."""

    def test_totals_match_the_unexpired_rows(self):
        # A total that deviates from its rows would have requests rejected
        # for a backlog that doesn't exist.
        rng = random.Random(7)
        demand, latest, now = fleet_demand.new_demand(), {}, 10.0
        for _ in range(1500):
            now += rng.random() * 0.1
            name = f"host-{rng.randrange(12)}"
            rows = tuple(
                (rng.choice(SERVICES), *rng.choice(ROUTES),
                 rng.randrange(9), rng.randrange(9000))
                for _ in range(rng.randrange(4)))
            fleet_demand.merge(demand, name, rows, now)
            latest[name] = rows, now
            valid = [row for rows, at in latest.values() for row in rows
                     if now < at + fleet_demand.ROWS_TTL_S]
            for service in SERVICES:
                by_route = {
                    route: tuple(sum(row[index] for row in valid
                                     if row[:2] == (service, route))
                                 for index in (3, 4))
                    for kind, route in {row[:2] for row in valid}
                    if kind == service}
                self.assertEqual(
                    by_route, fleet_demand.queued(demand, service, now))
                self.assertEqual(
                    sum(row[4] for row in valid
                        if row[0] == service and row[2] <= 1),
                    fleet_demand.ahead(demand, service, 1, now))

    def test_rows_of_a_silent_host_expire(self):
        # Guards against requests that yield to a host that has died.
        demand = fleet_demand.new_demand()
        fleet_demand.merge(demand, "h1", (("engines", "chat", 0, 1, .1),), 1.)
        fleet_demand.merge(demand, "h2", (("engines", "chat", 0, 1, .2),), 1.5)
        fleet_demand.merge(demand, "h1", (("engines", "chat", 0, 2, .7),), 1.8)
        self.assertAlmostEqual(
            0.9, fleet_demand.ahead(demand, "engines", 0, 2.4))
        self.assertEqual({"chat": (2, 0.7)}, {
            route: (requests, round(tokens, 9)) for route, (requests, tokens)
            in fleet_demand.queued(demand, "engines", 2.5).items()})
        self.assertEqual(0, fleet_demand.ahead(demand, "engines", 0, 2.8))
        self.assertEqual(fleet_demand.new_demand(), demand)


class SenderTest(unittest.TestCase):
    """When a host sends its rows."""

    def _sent(self, changes, until):
        """Return {time: tokens} of datagrams, asked every 50 ms.

        ``changes`` maps times to the tokens queued since then.
        """
        sender, tokens, sent = fleet_demand.new_sender(), 0, {}
        for step in range(int(until * 20)):
            now = step / 20
            tokens = changes.get(now, tokens)
            rows = (("engines", "chat", 0, 1, tokens),) if tokens else ()
            # The clock is fast by little: sums of intervals have rounding
            # errors.
            found = fleet_demand.due(sender, rows, now * (1 + 1e-9))
            if found is not None:
                sent[now] = sum(row[4] for row in found)
        return sent

    def test_times_of_datagrams(self):
        for changes, sent in (
                # Nothing in calm.
                ({}, {}),
                # Rows that stay are repeated before they expire.
                ({1.0: 100}, {1.0: 100, 1.4: 100, 1.8: 100}),
                # So are small changes; others are sent at once.
                ({1.0: 100, 1.1: 110}, {1.0: 100, 1.4: 110, 1.8: 110}),
                ({1.0: 100, 1.2: 111}, {1.0: 100, 1.2: 111, 1.6: 111}),
                # A queue that changes all the time takes no more datagrams.
                ({1.0: 100, 1.05: 200, 1.1: 300, 1.15: 400, 1.2: 0},
                 {1.0: 100, 1.1: 300, 1.2: 0, 1.5: 0}),
                # The end is sent twice: one datagram may get lost, and
                # others would yield to an empty queue for a second.
                ({1.0: 100, 1.05: 0}, {1.0: 100, 1.1: 0, 1.4: 0}),
                ({1.0: 100, 1.2: 0, 1.3: 50, 1.6: 0},
                 {1.0: 100, 1.2: 0, 1.3: 50, 1.6: 0, 1.9: 0})):
            with self.subTest(changes):
                self.assertEqual(sent, self._sent(changes, 2.0))

    def test_too_many_classes_are_limited(self):
        # Hosts reject a datagram with too many rows as a whole.
        rows = [("engines", f"r{number}", number % 3, 1, number)
                for number in range(700)]
        sent = fleet_demand.due(fleet_demand.new_sender(), rows, 0.0)
        self.assertEqual(fleet_demand.MAX_ROWS, len(sent))
        self.assertEqual(("engines", "r699", 0, 1, 699), sent[0])


if __name__ == "__main__":
    unittest.main()
