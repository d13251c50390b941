"""Committing a batch under races, lost answers and delayed writes."""

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

# What the store does with an operation. A write whose request is delayed
# takes effect at a later time.
ANSWERED, ANSWER_LOST, REQUEST_LOST, DELAYED, FAILED = range(5)
MAX_STEPS = 600


class Store:
    """An Object API in memory with injected failures."""

    def __init__(self, tree: conf.Tree):
        self.parts = storage.tree_parts(tree)
        index = storage.index_part(tree).digest
        entry = storage.RecentBatch(1, 'first', '')
        self.heads = [storage.Head(1, 'first', index, (entry,))]
        self.delayed = []

    def _write(self, operation: commit.WriteHead) -> bool:
        if operation.version != len(self.heads):
            return False
        self.heads.append(operation.head)
        return True

    def apply_delayed(self) -> None:
        """Apply the oldest delayed write."""
        if self.delayed:
            self._write(self.delayed.pop(0))

    def execute(self, operation, behavior: int):
        """Execute one operation and return its answer."""
        if isinstance(operation, commit.ReadHead):
            if behavior == FAILED:
                return commit.StoreFailed()
            return commit.HeadRead(self.heads[-1], len(self.heads))
        if isinstance(operation, commit.ReadPart):
            return commit.PartRead(self.parts[operation.digest])
        if isinstance(operation, commit.WriteParts):
            self.parts.update(
                {part.digest: part for part in operation.parts})
            lost = behavior in (ANSWER_LOST, DELAYED)
            return commit.OutcomeUnknown() if lost else commit.PartsWritten()
        return self._answer_write(operation, behavior)

    def _answer_write(self, operation, behavior: int):
        if behavior == FAILED:
            return commit.StoreFailed()
        if behavior == DELAYED:
            self.delayed.append(operation)
        if behavior in (DELAYED, REQUEST_LOST):
            return commit.OutcomeUnknown()
        written = self._write(operation)
        if behavior == ANSWER_LOST:
            return commit.OutcomeUnknown()
        return (commit.HeadWritten() if written
                else commit.HeadVersionConflict())


class Committer:
    """A host that commits one batch, and the result."""

    def __init__(self, batch, tree, max_retries=commit.MAX_RETRIES):
        self.batch, self.tree, self.max_retries = batch, tree, max_retries
        self.result = None
        self.state, self.next = conf.new_commit(
            batch, tree, resent=False, max_retries=max_retries)

    def resend(self) -> None:
        """Start a new commit of the same batch, as after a restart."""
        self.result = None
        self.state, self.next = conf.new_commit(
            self.batch, self.tree, resent=True, max_retries=self.max_retries)

    def step(self, store: Store, behavior: int = ANSWERED) -> None:
        """Execute the next operation unless the commit has ended."""
        if self.result is None:
            answer = store.execute(self.next, behavior)
            self.state, self.next = conf.commit_step(self.state, answer)
            if isinstance(self.next, (conf.Committed, conf.Refused)):
                self.result = self.next

    def run(self, store: Store, until=()) -> None:
        """Continue to the end, or to an operation of a type in ``until``."""
        for _ in range(MAX_STEPS):
            if self.result is not None or isinstance(self.next, until):
                return
            self.step(store)
        raise AssertionError('the commit did not end')


def new_committer(tree, number: int, path, value, **kwargs) -> Committer:
    batch = conf.Batch(
        f'batch-{number}', f'op-{number}', float(number), 1,
        (conf.Edit(path, value),))
    return Committer(batch, tree, **kwargs)


def new_committers(tree, count: int = 3, **kwargs) -> list[Committer]:
    """Return committers; every second one edits the same path."""
    shared = ('classes', 'fast', 'max_tokens')
    return [
        new_committer(
            tree, number, ('workspaces', f'w{number}', 'weight'),
            50 + number, **kwargs)
        if number % 2 == 0 else
        new_committer(tree, number, shared, 50 + number, **kwargs)
        for number in range(count)
    ]


def document_of(store: Store) -> dict:
    """Return the document that a newly started host loads."""
    head = store.heads[-1]
    index = storage.decode_index(store.parts[head.index_digest])
    tree = conf.assemble(head.generation, index, store.parts)
    return conf.to_document(tree)


class CommitTest(unittest.TestCase):

    def check(self, store: Store, committers) -> None:
        """Check: applied at most once, none lost, generations contiguous."""
        generations = [head.generation for head in store.heads]
        self.assertEqual(
            list(range(1, len(generations) + 1)), generations)
        done = collections.Counter(head.batch_id for head in store.heads)
        self.assertEqual({1}, set(done.values()))
        document = document_of(store)
        for committer in committers:
            edit, = committer.batch.edits
            if isinstance(committer.result, conf.Committed):
                head = store.heads[committer.result.generation - 1]
                self.assertEqual(committer.batch.id, head.batch_id)
                node = document
                for key in edit.path:
                    node = node[key]
                self.assertEqual(edit.value, node)
            elif committer.result.outcome is conf.Outcome.NOT_APPLIED:
                self.assertNotIn(committer.batch.id, done)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 4)),
            max_size=70),
        strategies.sampled_from([2, commit.MAX_RETRIES]))
    def test_random_races_and_lost_answers(
            self, schedule, max_retries):
        tree = samples.tree()
        store = Store(tree)
        committers = new_committers(tree, max_retries=max_retries)
        for number, behavior in schedule:
            if number == len(committers):
                store.apply_delayed()
            elif committers[number].result is not None and behavior == DELAYED:
                committers[number].resend()
            else:
                committers[number].step(store, behavior)
        for committer in committers:
            committer.run(store)
        while store.delayed:
            store.apply_delayed()
        self.check(store, committers)

    def test_lost_answer_is_found_in_the_head(self):
        """Guards against applying a batch twice, over a later one.

        The platform executes the head write and its answer is lost. Then
        another operator changes the value on the resulting generation. The
        first commit's retry must find its batch accepted and must not
        overwrite the newer value.
        """
        tree = samples.tree()
        store = Store(tree)
        path = ('workspaces', 'w0', 'weight')
        first = new_committer(tree, 1, path, 5)
        first.run(store, commit.WriteHead)
        first.step(store, ANSWER_LOST)
        batch = conf.Batch('later', 'b', 1.0, 2, (conf.Edit(path, 6),))
        later = Committer(batch, tree)
        later.run(store)
        for _ in range(2):
            first.run(store)
            self.assertEqual(conf.Committed(2, None), first.result)
            first.resend()
        self.assertEqual(
            6, document_of(store)['workspaces']['w0']['weight'])
        self.assertEqual(3, store.heads[-1].generation)

    def test_delayed_write_is_not_reported_as_not_applied(self):
        """Guards against "not applied" for a batch that takes effect.

        The head write is still in flight when the commit stops waiting for
        its answer, the head still has the old generation, and the commit
        runs out of retries.
        """
        tree = samples.tree()
        store = Store(tree)
        first = new_committers(tree, 1, max_retries=2)[0]
        for _ in range(2):
            first.run(store, commit.WriteHead)
            first.step(store, DELAYED)
        first.run(store, commit.WriteHead)
        first.step(store, FAILED)
        self.assertEqual(conf.Outcome.UNKNOWN, first.result.outcome)
        store.apply_delayed()
        self.assertEqual('batch-0', store.heads[-1].batch_id)
        store.apply_delayed()
        self.check(store, [first])

    def test_failed_resend_does_not_report_the_first_as_not_applied(self):
        """Guards against "not applied" for a batch that takes effect.

        The first attempt's write is in flight. The batch is resent while
        the platform is down, so the second attempt writes nothing.
        """
        tree = samples.tree()
        store = Store(tree)
        first = new_committers(tree, 1, max_retries=0)[0]
        first.run(store, commit.WriteHead)
        first.step(store, DELAYED)
        first.resend()
        first.step(store, FAILED)
        self.assertEqual(conf.Outcome.UNKNOWN, first.result.outcome)
        store.apply_delayed()
        self.check(store, [first])

    def test_lost_race_is_merged_or_refused_with_both_values(self):
        tree = samples.tree()
        store = Store(tree)
        committers = new_committers(tree, 4)
        for committer in committers:
            committer.run(store, commit.WriteHead)
        for committer in committers:
            committer.run(store)
        self.check(store, committers)
        result_types = [type(committer.result) for committer in committers]
        self.assertEqual(
            [conf.Committed, conf.Committed, conf.Committed, conf.Refused],
            result_types)
        conflict, = committers[3].result.conflicts
        self.assertEqual((53, 51, 'op-1', 1.0), (
            conflict.ours.value, conflict.theirs.value, conflict.author,
            conflict.created_at))

    def test_retry_older_than_the_window_is_refused_as_unknown(self):
        """Guards against applying a batch again much later.

        Its answer was lost, and its author resends it after more batches
        than the head lists, so that its id is no longer found.
        """
        tree = samples.tree()
        store = Store(tree)
        first = new_committers(tree, 1)[0]
        with mock.patch.object(storage, 'RECENT_BATCHES', 2):
            first.run(store)
            newest = first.result.tree
            for number in range(3):
                batch = conf.Batch(
                    f'next-{number}', 'b', 1.0, newest.generation,
                    (conf.Edit(('cell_size',), number + 1),))
                other = Committer(batch, newest)
                other.run(store)
                newest = other.result.tree
        first.tree = newest
        first.resend()
        first.run(store)
        self.assertEqual(
            (conf.Reason.OUTSIDE_WINDOW, conf.Outcome.UNKNOWN),
            (first.result.reason, first.result.outcome))
        self.assertEqual(5, store.heads[-1].generation)

    def test_store_restored_from_an_old_copy_is_refused(self):
        """Guards against a commit on a store restored from an old copy.

        It would reuse a generation number, and hosts would have different
        settings for the same generation.
        """
        tree = samples.tree()
        store = Store(tree)
        first = new_committers(tree, 1)[0]
        first.run(store)
        store.heads.pop()
        batch = conf.Batch(
            'next', 'b', 1.0, 2, (conf.Edit(('cell_size',), 2),))
        second = Committer(batch, first.result.tree)
        second.run(store)
        self.assertEqual(conf.Reason.UNKNOWN_BASE, second.result.reason)
        self.assertEqual(1, store.heads[-1].generation)

    def test_first_commit_creates_the_head(self):
        store = Store(samples.tree())
        store.heads.clear()
        store.execute = _without_head(store)
        edits = conf.document_edits(conf.empty_tree(), samples.document())
        batch = conf.new_batch('op', 1.0, 0, edits)
        first = Committer(batch, conf.empty_tree())
        first.run(store)
        self.assertEqual(1, first.result.generation)
        self.assertEqual(samples.document(), document_of(store))


def _without_head(store: Store):
    original = store.execute

    def execute(operation, behavior):
        if isinstance(operation, commit.ReadHead) and not store.heads:
            return commit.HeadRead(None, 0)
        return original(operation, behavior)

    return execute
