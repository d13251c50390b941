"""Requests that wait at a host are tried in a fair order."""

import collections
import random
import unittest

from crocuskeel.core.scheduling import waiting_room

ROUTE = "/chat"


def _waiting(key, workspace="a", target_at=100.0, route=ROUTE, priority=0,
             tokens=10, first_arrived_at=None):
    if first_arrived_at is None:
        first_arrived_at = float(key)
    return waiting_room.Waiting(key, route, priority, workspace, tokens,
                                target_at, 1000.0, first_arrived_at)


def _room(*rows, now=0.0, max_waiting=400, **weights):
    room = waiting_room.new_room(max_waiting, **weights)
    for row in rows:
        waiting_room.join(room, row, now)
    return room


def _place(room, count, now=0.0):
    """Place the first request ``count`` times; return the keys."""
    keys = []
    for _ in range(count):
        key = next(waiting_room.order(room, now), None)
        if key is not None:
            waiting_room.placed(room, key, now)
            keys.append(key)
    return keys


def _many(workspaces, count=40, first=0, **kwargs):
    """Return ``count`` requests of each workspace, by turns."""
    names = [name for _ in range(count) for name in workspaces]
    return [_waiting(first + number, name, first_arrived_at=0.0, **kwargs)
            for number, name in enumerate(names)]


def _counts(keys, rows, field="workspace"):
    by_key = {row.key: getattr(row, field) for row in rows}
    return collections.Counter(by_key[key] for key in keys)


class OrderTest(unittest.TestCase):
    """Which request goes first."""

    def test_urgent_classes_go_first(self):
        # A long prompt that came first took the place of a chat.
        room = _room(_waiting(1, route="/long", priority=2),
                     _waiting(2, route="/mid", priority=1), _waiting(3))
        self.assertEqual([3, 2, 1], list(waiting_room.order(room, 0.0)))

    def test_requests_on_time_go_before_late_ones(self):
        # Capacity went to late requests until all others were late too.
        room = _room(_waiting(1, target_at=5.0), _waiting(2, target_at=9.0),
                     _waiting(3, target_at=1.0))
        self.assertEqual([1, 2, 3], list(waiting_room.order(room, 4.9)))
        self.assertEqual([2, 1, 3], list(waiting_room.order(room, 5.0)))

    def test_every_fourth_placing_is_a_late_one(self):
        # Late requests starved while others kept coming.
        for late in ("a", "b"):
            room = _room(*_many("a"), *_many(late, first=100, target_at=0.0))
            found = [key >= 100 for key in _place(room, 16)]
            self.assertEqual([False, False, False, True] * 4, found, late)

    def test_late_request_that_cannot_be_placed_holds_up_no_others(self):
        # A late one that fitted no engine was tried first without end.
        room = _room(*_many("a", 8), *_many("bc", 3, 100, target_at=0.0))
        _place(room, 3)
        self.assertEqual([100, 3, 101, 4, 5, 6, 7, 102],
                         list(waiting_room.order(room, 0.0))[:8])

    def test_workspaces_go_by_turns_and_arrival_within(self):
        # The workspace with the most requests took every place.
        room = _room(*(_waiting(key) for key in (3, 2, 1)), _waiting(9, "b"))
        self.assertEqual([1, 9, 2, 3], list(waiting_room.order(room, 0.0)))
        self.assertEqual([1, 9, 2, 3], _place(room, 4))

    def test_large_prompts_are_charged_by_tokens(self):
        # Turns by requests gave a workspace of long prompts ten shares.
        rows = [*_many("a", tokens=100), *_many("b", first=100)]
        found = _counts(_place(_room(*rows), 33), rows)
        self.assertAlmostEqual(10, found["b"] / found["a"], delta=1)

    def test_requests_without_tokens_are_charged(self):
        # Calls without a prompt cost nothing: one workspace took all places.
        rows = [*_many("a", tokens=0), *_many("b", first=100, tokens=0)]
        self.assertEqual({"a": 5, "b": 5},
                         _counts(_place(_room(*rows), 10), rows))


class WeightsTest(unittest.TestCase):
    """Shares follow the weights."""

    def test_workspaces(self):
        # Settings of an operator had no effect; a weight of 0 divided by 0.
        rows = _many("abc")
        room = _room(*rows, workspace_weights={"b": 3.0, "c": 0.0})
        found = _counts(_place(room, 33), rows)
        self.assertEqual({"a": 8, "b": 24, "c": 1}, found)
        waiting_room.set_weights(room, {}, {"c": 4.0, "a": 4.0})
        found = _counts(_place(room, 9), rows)
        self.assertLessEqual(found["b"], 2)

    def test_classes_of_one_priority(self):
        # A class that shares a priority was served only after the other.
        rows = [*_many("a"), *_many("a", first=100, route="/other")]
        found = _place(_room(*rows, class_weights={ROUTE: 3.0}), 40)
        self.assertEqual(30, _counts(found, rows, "route")[ROUTE])
        # One that was idle was then served alone.
        room = _room(*rows[:40])
        _place(room, 20)
        for row in rows[40:]:
            waiting_room.join(room, row, 0.0)
        found = _place(room, 10)
        self.assertEqual(5, _counts(found, rows, "route")[ROUTE])


class GainTest(unittest.TestCase):
    """What callers do brings them no more than their share."""

    def test_rejoining_gains_nothing(self):
        # Requests that left and came back went ahead of those that stayed.
        rows = _many("ab", 20)
        room, still = _room(*rows), _room(*rows)
        for _ in range(10):
            for row in rows:
                if row.workspace == "a" and row.key in room.places:
                    waiting_room.leave(room, row.key)
                    waiting_room.join(room, row, 0.0)
            self.assertEqual(_place(still, 1), _place(room, 1))

    def test_known_key_keeps_its_place(self):
        # A repeated join went to the end, or made a late request on time.
        room = _room(_waiting(1, target_at=1.0), _waiting(2), _waiting(3))
        waiting_room.join(room, _waiting(2, tokens=70, first_arrived_at=9.0),
                          5.0)
        waiting_room.join(room, _waiting(1, target_at=90.0), 5.0)
        self.assertEqual([2, 3, 1], list(waiting_room.order(room, 5.0)))
        self.assertEqual({ROUTE: (3, 90)}, waiting_room.backlog(room))
        waiting_room.join(room, _waiting(2, "b", route="/other"), 5.0)
        self.assertEqual({ROUTE: (2, 20), "/other": (1, 10)},
                         waiting_room.backlog(room))

    def test_idle_workspace_earns_no_credit(self):
        # One that came back after a while was served alone for as long.
        for target_at in (0.0, 100.0):
            rows = [*_many("a"), *_many("b", first=100, target_at=target_at)]
            room = _room(rows[0], rows[40])
            _place(room, 2)
            for row in rows[:40]:
                waiting_room.join(room, row, 0.0)
            _place(room, 20)
            for row in rows[40:]:
                waiting_room.join(room, row, 0.0)
            found = _counts(_place(room, 12), rows)
            self.assertEqual(6 if target_at else 3, found["b"])

    def test_debt_remains_while_others_wait(self):
        # A workspace that paused after a large request began anew.
        room = _room(_waiting(1, tokens=1000, first_arrived_at=-1.0),
                     *_many("b", first=10))
        self.assertEqual([1], _place(room, 1))
        for now in (70.0, 140.0):
            waiting_room.join(room, _waiting(2), now)
            self.assertNotIn(2, _place(room, 10, now))
            waiting_room.leave(room, 2)

    def test_idle_workspaces_are_forgotten(self):
        # 18,000 workspaces that came once took memory for good.
        room = _room()
        for key in range(2000):
            waiting_room.join(room, _waiting(key, f"w{key}"), key * 0.1)
            _place(room, 1, key * 0.1)
        queue, = room.queues.values()
        self.assertLess(len(queue.workspaces), 700)
        self.assertEqual(len(queue.workspaces), len(room.idle))

    def test_workspace_of_late_requests_gets_only_its_share(self):
        # Late turns gave a workspace whose requests are all late a quarter.
        rows = [*_many("bcdefghij"), *_many("f", 99, 500, target_at=0.0)]
        rows += _many("z", 99, 700, target_at=0.0)
        found = _counts(_place(_room(*rows), 110), rows)
        self.assertLessEqual(found["z"], 11)


class FloodTest(unittest.TestCase):
    """A workspace that sends 8 times its usual load."""

    def _shares(self, times, capacity):
        """Replay 40 s; return (share of placings, served share) of others.

        Ten workspaces send 4 requests a second each, the first one ``times``
        as many; ``capacity`` requests a second are placed. Callers retry
        each 0.3 s with their first arrival and give up after 8 s.
        """
        rng = random.Random(8)
        room = waiting_room.new_room(100)
        rows, waits, sent, served = [], {}, [0, 0], [0, 0]
        for tick in range(4000):
            now = tick / 100
            for number in range(10):
                if rng.random() < 0.04 * (1 if number else times):
                    row = _waiting(
                        len(rows), f"w{number}", now + 0.5,
                        tokens=rng.randint(500, 1500), first_arrived_at=now)
                    rows.append(row)
                    sent[number > 0] += 1
                    waits[row.key] = tick
            for key, first in list(waits.items()):
                if tick - first >= 800:
                    waiting_room.leave(room, key)
                    del waits[key]
                elif (tick - first) % 30 == 0:
                    waiting_room.join(room, rows[key], now)
            if rng.random() < capacity / 100:
                for key in _place(room, 1, now):
                    served[rows[key].workspace != "w0"] += 1
                    del waits[key]
        return served[1] / sum(served), served[1] / sent[1]

    def test_others_keep_their_share(self):
        # One workspace took what the others in its class would have got.
        for capacity in (20, 34):
            usual, found = (self._shares(t, capacity) for t in (1, 8))
            with self.subTest(capacity=capacity, usual=usual, found=found):
                self.assertGreaterEqual(found[0], usual[0] - 0.05)
                self.assertGreaterEqual(found[1], usual[1] - 0.05)

    def test_late_requests_go_before_those_ahead_of_their_share(self):
        # A workspace that always had requests on time got three quarters.
        rows = [*_many("a", 99), *_many("b", 99, 100, target_at=0.0)]
        found = _counts(_place(_room(*rows), 100), rows)
        self.assertGreaterEqual(found["b"], 45)

    def test_workspace_that_lagged_does_not_stop_others(self):
        # One whose requests were late for long then got all turns as long.
        rows = [*_many("a", 99), *_many("b", 99, 100, target_at=0.0),
                *_many("b", 99, 200)]
        room = _room(*rows[:198])
        _place(room, 80)
        for row in rows[198:]:
            waiting_room.join(room, row, 0.0)
        found = _counts(_place(room, 30), rows)
        self.assertGreaterEqual(found["a"], 10)


class FullTest(unittest.TestCase):
    """Which request has to leave a full room."""

    def test_newest_of_the_largest_workspace_leaves(self):
        # A flood of one workspace pushed out the requests of others.
        room = _room(*(_waiting(key) for key in (1, 2, 3)), max_waiting=3)
        self.assertEqual(3, waiting_room.join(room, _waiting(9, "b"), 0.0))
        self.assertEqual(8, waiting_room.join(room, _waiting(8), 0.0))
        self.assertEqual(2, waiting_room.join(
            room, _waiting(7, first_arrived_at=0.5), 0.0))
        self.assertEqual([7, 9, 1], list(waiting_room.order(room, 0.0)))

    def test_less_urgent_leaves_first(self):
        # A chat was turned away while a long prompt waited.
        room = _room(_waiting(1, route="/long", priority=2), _waiting(2),
                     max_waiting=2)
        self.assertEqual(1, waiting_room.join(room, _waiting(3, "b"), 0.0))
        self.assertEqual(4, waiting_room.join(
            room, _waiting(4, route="/long", priority=2), 0.0))
        self.assertEqual(2, waiting_room.size(room))

    def test_class_with_the_longest_backlog_leaves_first(self):
        # Of two classes of a priority the smaller one was turned away.
        room = _room(_waiting(1, route="/z"), _waiting(2), _waiting(3),
                     max_waiting=3)
        self.assertEqual(4, waiting_room.join(room, _waiting(4), 0.0))


class ConsistencyTest(unittest.TestCase):
    """Random calls leave the state consistent."""

    def test_each_key_is_yielded_once_and_nothing_remains(self):
        # Requests that left during an iteration were yielded again or lost.
        for seed in range(60):
            rng = random.Random(seed)
            room = waiting_room.new_room(60)
            known, now = set(), 0.0
            for _ in range(40):
                now += rng.random()
                for _ in range(rng.randint(0, 8)):
                    row = _waiting(
                        rng.randrange(400), f"w{rng.randrange(9)}",
                        now + rng.uniform(-2, 4), *rng.choice(
                            [("/a", 0), ("/b", 1), ("/c", 1)]),
                        rng.randrange(50), now - rng.random())
                    known.add(row.key)
                    known.discard(waiting_room.join(room, row, now))
                found = []
                for key in waiting_room.order(room, now):
                    found.append(key)
                    act = rng.choice([None, None, "leave", "place"])
                    if act == "leave":
                        waiting_room.leave(room, rng.randrange(400))
                    elif act == "place":
                        waiting_room.placed(room, key, now)
                    known = known & set(room.places)
                    if rng.random() < 0.01:
                        break
                else:
                    self.assertEqual(len(found), len(set(found)))
                    self.assertLessEqual(known, set(found))
                self.assertEqual(waiting_room.size(room), len(known))
                self.assertEqual(sum(
                    row[0] for row in waiting_room.backlog(room).values()),
                    len(known))
            keys = list(waiting_room.order(room, now))
            self.assertEqual(sorted(known), sorted(keys))
            for key in [*keys, *keys]:
                waiting_room.placed(room, key, now)
            self.assertEqual({}, waiting_room.backlog(room))
            for queue in room.queues.values():
                self.assertEqual((0, [], ([], [], [])), (
                    queue.tokens, queue.targets, queue.indexes))
            for _ in range(30):
                now += 61.0
                waiting_room.join(room, _waiting(1000), now)
                waiting_room.leave(room, 1000)
            self.assertEqual(1, len(room.idle))
            self.assertEqual(1, len(room.queues))
