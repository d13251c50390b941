"""The commit of a batch under races, lost answers and late writes."""

import collections
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from crocuskeel import conf
from crocuskeel.conf import commit
from crocuskeel.conf import storage
from tests.conf import samples

# What becomes of a head write; LATE takes effect only at a later time.
ANSWERED, LOST_AFTER, LOST_BEFORE, LATE, FAILED = range(5)
MAX_STEPS = 600


class Store:
    """An Object API in memory, whose answers go as they are told to."""

    def __init__(self, tree: conf.Tree):
        self.parts = storage.tree_parts(tree)
        index = storage.index_part(tree).digest
        entry = storage.Recent(1, 'first', '')
        self.heads = [storage.Head(1, 'first', index, (entry,))]
        self.late = []

    def _write(self, operation: commit.WriteHead) -> bool:
        if operation.version != len(self.heads):
            return False
        self.heads.append(operation.head)
        return True

    def settle_late(self) -> None:
        """Let one late write arrive."""
        if self.late:
            self._write(self.late.pop(0))

    def do(self, operation, fate: int):
        """Carry out one operation and return the answer."""
        if isinstance(operation, commit.ReadHead):
            if fate == FAILED:
                return commit.StoreFailed()
            return commit.HeadRead(self.heads[-1], len(self.heads))
        if isinstance(operation, commit.ReadPart):
            return commit.PartRead(self.parts[operation.digest])
        if isinstance(operation, commit.WriteParts):
            self.parts.update(
                {part.digest: part for part in operation.parts})
            lost = fate in (LOST_AFTER, LATE)
            return commit.OutcomeUnknown() if lost else commit.PartsWritten()
        return self._answer_write(operation, fate)

    def _answer_write(self, operation, fate: int):
        if fate == FAILED:
            return commit.StoreFailed()
        if fate == LATE:
            self.late.append(operation)
        if fate in (LATE, LOST_BEFORE):
            return commit.OutcomeUnknown()
        written = self._write(operation)
        if fate == LOST_AFTER:
            return commit.OutcomeUnknown()
        return commit.HeadWritten() if written else commit.HeadMoved()


class Operator:
    """One commit under way, and how it ended."""

    def __init__(self, batch, tree, rounds=commit.MAX_ROUNDS):
        self.batch, self.tree, self.rounds = batch, tree, rounds
        self.end = None
        self.state, self.next = conf.new_commit(
            batch, tree, resent=False, rounds=rounds)

    def send_again(self) -> None:
        """Start anew with the same batch, as after a restart."""
        self.end = None
        self.state, self.next = conf.new_commit(
            self.batch, self.tree, resent=True, rounds=self.rounds)

    def step(self, store: Store, fate: int = ANSWERED) -> None:
        """Do the next operation; nothing once the commit has ended."""
        if self.end is None:
            answer = store.do(self.next, fate)
            self.state, self.next = conf.commit_step(self.state, answer)
            if isinstance(self.next, (conf.Done, conf.Refused)):
                self.end = self.next

    def run(self, store: Store, until=()) -> None:
        """Go on to the end, or to an operation of a type in ``until``."""
        for _ in range(MAX_STEPS):
            if self.end is not None or isinstance(self.next, until):
                return
            self.step(store)
        raise AssertionError('the commit does not end')


def new_operator(tree, number: int, path, value, **kwargs) -> Operator:
    batch = conf.Batch(
        f'batch-{number}', f'op-{number}', float(number), 1,
        (conf.Edit(path, value),))
    return Operator(batch, tree, **kwargs)


def operators(tree, count: int = 3, **kwargs) -> list[Operator]:
    """Disjoint edits, but that each second one wants the same value."""
    shared = ('classes', 'fast', 'max_tokens')
    return [
        new_operator(tree, at, ('workspaces', f'w{at}', 'weight'), 50 + at,
                     **kwargs)
        if at % 2 == 0 else
        new_operator(tree, at, shared, 50 + at, **kwargs)
        for at in range(count)
    ]


def document_of(store: Store) -> dict:
    """Return what a host that starts now loads."""
    head = store.heads[-1]
    index = storage.decode_index(store.parts[head.index])
    tree = conf.assemble(head.generation, index, store.parts)
    return conf.to_document(tree)


class CommitTest(unittest.TestCase):

    def check(self, store: Store, everyone) -> None:
        """At most once, none lost, generations grow by one."""
        generations = [head.generation for head in store.heads]
        self.assertEqual(
            list(range(1, len(generations) + 1)), generations)
        done = collections.Counter(head.batch_id for head in store.heads)
        self.assertEqual({1}, set(done.values()))
        document = document_of(store)
        for one in everyone:
            edit, = one.batch.edits
            if isinstance(one.end, conf.Done):
                head = store.heads[one.end.generation - 1]
                self.assertEqual(one.batch.id, head.batch_id)
                node = document
                for key in edit.path:
                    node = node[key]
                self.assertEqual(edit.value, node)
            elif one.end.outcome is conf.Outcome.NOT_APPLIED:
                self.assertNotIn(one.batch.id, done)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 4)),
            max_size=70),
        strategies.sampled_from([2, commit.MAX_ROUNDS]))
    def test_any_schedule_of_races_and_lost_answers(self, plan, rounds):
        tree = samples.tree()
        store = Store(tree)
        everyone = operators(tree, rounds=rounds)
        for who, fate in plan:
            if who == len(everyone):
                store.settle_late()
            elif everyone[who].end is not None and fate == LATE:
                everyone[who].send_again()
            else:
                everyone[who].step(store, fate)
        for one in everyone:
            one.run(store)
        while store.late:
            store.settle_late()
        self.check(store, everyone)

    def test_lost_answer_is_read_back(self):
        """An operator's change is made twice, over that of another.

        The platform carries out the head write and its answer is lost.
        Meanwhile another operator sets the value anew, on the generation
        that came of it. The first, trying again, must find its batch
        done, and not set the value back.
        """
        tree = samples.tree()
        store = Store(tree)
        path = ('workspaces', 'w0', 'weight')
        first = new_operator(tree, 1, path, 5)
        first.run(store, commit.WriteHead)
        first.step(store, LOST_AFTER)
        batch = conf.Batch('later', 'b', 1.0, 2, (conf.Edit(path, 6),))
        later = Operator(batch, tree)
        later.run(store)
        for _ in range(2):
            first.run(store)
            self.assertEqual(conf.Done(2, None), first.end)
            first.send_again()
        self.assertEqual(
            6, document_of(store)['workspaces']['w0']['weight'])
        self.assertEqual(3, store.heads[-1].generation)

    def test_late_write_is_not_called_unapplied(self):
        """An operator is told "not applied", and then it is in force.

        The head write is under way when its answer is given up, the head
        still shows the old generation, and the commit runs out of tries.
        """
        tree = samples.tree()
        store = Store(tree)
        first = operators(tree, 1, rounds=2)[0]
        for _ in range(2):
            first.run(store, commit.WriteHead)
            first.step(store, LATE)
        first.run(store, commit.WriteHead)
        first.step(store, FAILED)
        self.assertEqual(conf.Outcome.UNKNOWN, first.end.outcome)
        store.settle_late()
        self.assertEqual('batch-0', store.heads[-1].batch_id)
        store.settle_late()
        self.check(store, [first])

    def test_a_second_try_can_not_deny_the_first(self):
        """An operator is told "not applied", and then it is in force.

        The first attempt's write is under way. The batch is sent again,
        the platform is down, and the second attempt wrote nothing.
        """
        tree = samples.tree()
        store = Store(tree)
        first = operators(tree, 1, rounds=0)[0]
        first.run(store, commit.WriteHead)
        first.step(store, LATE)
        first.send_again()
        first.step(store, FAILED)
        self.assertEqual(conf.Outcome.UNKNOWN, first.end.outcome)
        store.settle_late()
        self.check(store, [first])

    def test_lost_race_merges_or_is_refused_with_both_values(self):
        tree = samples.tree()
        store = Store(tree)
        everyone = operators(tree, 4)
        for one in everyone:
            one.run(store, commit.WriteHead)
        for one in everyone:
            one.run(store)
        self.check(store, everyone)
        ends = [type(one.end) for one in everyone]
        self.assertEqual(
            [conf.Done, conf.Done, conf.Done, conf.Refused], ends)
        conflict, = everyone[3].end.conflicts
        self.assertEqual((53, 51, 'op-1', 1.0), (
            conflict.ours.value, conflict.theirs.value, conflict.author,
            conflict.at))

    def test_retry_older_than_the_window_is_refused_as_unknown(self):
        """A batch of the morning is applied again in the evening.

        Its answer was lost, its author sends it again after more batches
        than the head remembers, and its id is no longer found.
        """
        tree = samples.tree()
        store = Store(tree)
        first = operators(tree, 1)[0]
        with mock.patch.object(storage, 'RECENT_BATCHES', 2):
            first.run(store)
            newest = first.end.tree
            for at in range(3):
                batch = conf.Batch(
                    f'next-{at}', 'b', 1.0, newest.generation,
                    (conf.Edit(('cell_size',), at + 1),))
                other = Operator(batch, newest)
                other.run(store)
                newest = other.end.tree
        first.tree = newest
        first.send_again()
        first.run(store)
        self.assertEqual(
            (conf.Reason.OUTSIDE_WINDOW, conf.Outcome.UNKNOWN),
            (first.end.reason, first.end.outcome))
        self.assertEqual(5, store.heads[-1].generation)

    def test_a_store_set_back_is_not_followed(self):
        """The platform's store is restored from an older copy.

        A commit on it would give a generation's number out for the
        second time, and hosts would hold different settings under it.
        """
        tree = samples.tree()
        store = Store(tree)
        first = operators(tree, 1)[0]
        first.run(store)
        store.heads.pop()
        batch = conf.Batch(
            'next', 'b', 1.0, 2, (conf.Edit(('cell_size',), 2),))
        second = Operator(batch, first.end.tree)
        second.run(store)
        self.assertEqual(conf.Reason.UNKNOWN_BASE, second.end.reason)
        self.assertEqual(1, store.heads[-1].generation)

    def test_the_first_commit_makes_the_head(self):
        store = Store(samples.tree())
        store.heads.clear()
        store.do = _absent_head(store)
        edits = conf.document_edits(conf.empty_tree(), samples.document())
        batch = conf.new_batch('op', 1.0, 0, edits)
        first = Operator(batch, conf.empty_tree())
        first.run(store)
        self.assertEqual(1, first.end.generation)
        self.assertEqual(samples.document(), document_of(store))


def _absent_head(store: Store):
    usual = store.do

    def do(operation, fate):
        if isinstance(operation, commit.ReadHead) and not store.heads:
            return commit.HeadRead(None, 0)
        return usual(operation, fate)

    return do
