"""Batches: atomic application, merging, diffs and reversal."""

import itertools
import unittest

from hypothesis import assume
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from crocuskeel import conf
from crocuskeel.conf import batches
from crocuskeel.conf import checks
from crocuskeel.conf import merging
from tests.conf import samples

# Paths that overlap in many ways, and values valid and invalid for them.
PATHS = (
    ('cell_size',),
    ('defaults', 'tier'),
    ('defaults', 'floor'),
    ('classes', 'fast'),
    ('classes', 'fast', 'hedge'),
    ('classes', 'fast', 'floor'),
    ('classes', 'slow', 'floor'),
    ('classes', 'slow', 'service'),
    ('classes', 'book', 'hedge'),
    ('services', 'desk'),
    ('services', 'llm', 'checks_fence'),
    ('workspaces', 'w0'),
    ('workspaces', 'w0', 'classes', 'fast', 'max_tokens'),
    ('workspaces', 'w0', 'classes', 'slow', 'repeatable'),
    ('workspaces', 'w1', 'tokens'),
    ('workspaces', 'w1', 'weight'),
    ('workspaces', 'w1', 'weight', 'x'),
    ('workspaces', 'w9'),
    ('workspaces', 'w9', 'deadline_s'),
)
VALUES = (
    conf.REMOVE, 1, 2, 0.45, 0.95, True, False, 'desk', 'none', {},
    {'tier': 2, 'service': 'llm'}, {'kind': 'plain'},
    samples.workspace(1)['tokens'], samples.workspace(7)['tokens'],
    samples.workspace(7), samples.workspace(0),
)
EDITS = strategies.lists(
    strategies.builds(
        conf.Edit, strategies.sampled_from(PATHS),
        strategies.sampled_from(VALUES)),
    min_size=1, max_size=4)
DERANDOMIZED = settings(derandomize=True, deadline=None, max_examples=400)


def batch(edits, name='b', base=1):
    return conf.Batch(name, f'author-{name}', 100.0, base, tuple(edits))


def valid_edits():
    """Return a strategy of edit lists, each edit valid on its own."""
    tree = samples.tree()
    every = [conf.Edit(path, value) for path in PATHS for value in VALUES]
    valid = [
        edit for edit in every
        if conf.apply_batch(tree, batch([edit])).is_ok()]
    return strategies.lists(
        strategies.sampled_from(valid), min_size=1, max_size=3)


def merged(tree, first, second):
    """Return the tree after both, or None if either is refused."""
    after = conf.apply_batch(tree, first)
    if after.is_err():
        return None
    history = [merging.AcceptedBatch(after.unwrap().generation, first)]
    rebased = conf.merge(history, second)
    if rebased.is_err():
        return None
    return conf.apply_batch(after.unwrap(), rebased.unwrap()).ok()


VALID_EDITS = valid_edits()


class ApplyTest(unittest.TestCase):

    @DERANDOMIZED
    @given(EDITS)
    def test_partial_validation_equals_full_validation(self, edits):
        """Guards against accepting a batch whose tree has a fault.

        Only edited parts are validated. A fault between an edited part
        and an unedited one (a token of another workspace, a class that
        overrides still refer to) could be missed and would take effect on
        all hosts.
        """
        tree = samples.tree()
        before = conf.to_document(tree)
        expected = before
        try:
            for edit in edits:
                expected = batches.edit_node(expected, *edit)
        except conf.ConfError:
            expected = None
        assume(not any(
            batches.paths_overlap(first.path, second.path)
            for first, second in itertools.combinations(edits, 2)))
        result = conf.apply_batch(tree, batch(edits))
        valid = expected is not None and not checks.document_faults(expected)
        self.assertEqual(valid, result.is_ok())
        if valid:
            found = conf.to_document(result.unwrap())
            expected.setdefault('workspaces', {})
            self.assertEqual(expected, {'workspaces': {}, **found})
        self.assertEqual(before, conf.to_document(tree))

    @DERANDOMIZED
    @given(VALID_EDITS)
    def test_reversal_restores_the_tree(self, edits):
        tree = samples.tree()
        after = conf.apply_batch(tree, batch(edits))
        assume(after.is_ok())
        undo = conf.reversal(tree, batch(edits))
        restored = conf.apply_batch(after.unwrap(), batch(undo)).unwrap()
        self.assertEqual(
            conf.to_document(tree), conf.to_document(restored))
        self.assertEqual(3, restored.generation)

    def test_diff_turns_one_example_into_the_other(self):
        tree = conf.parse(samples.text('paddlegum')).unwrap()
        wanted = conf.parse_document(samples.text('wellness')).unwrap()
        edits = conf.document_edits(tree, wanted)
        after = conf.apply_batch(tree, batch(edits)).unwrap()
        self.assertEqual(wanted, conf.to_document(after))

    def test_overlapping_edits_in_one_batch_are_refused(self):
        edits = (
            conf.Edit(('classes', 'fast', 'tier'), 2),
            conf.Edit(('cell_size',), 2),
            conf.Edit(('classes', 'fast'), {'tier': 3}))
        faults = conf.apply_batch(samples.tree(), batch(edits)).unwrap_err()
        self.assertEqual(['conf.E202'], [fault.id for fault in faults])


class MergeTest(unittest.TestCase):

    @DERANDOMIZED
    @given(VALID_EDITS, VALID_EDITS)
    def test_disjoint_batches_commute(self, ours, theirs):
        """Guards against a result that depends on the order of batches.

        Each batch is valid on its own and their paths are disjoint, so
        both orders must give the same tree.
        """
        tree = samples.tree()
        first, second = batch(ours, 'a'), batch(theirs, 'b')
        assume(conf.apply_batch(tree, first).is_ok())
        assume(conf.apply_batch(tree, second).is_ok())
        in_order = merged(tree, first, second)
        swapped = merged(tree, second, first)
        self.assertEqual(in_order is None, swapped is None)
        if in_order is not None:
            self.assertEqual(
                conf.to_document(in_order), conf.to_document(swapped))
            self.assertEqual(
                (3, 3), (in_order.generation, swapped.generation))

    def test_conflict_names_both_values_author_and_time(self):
        """Guards against an edit that silently overwrites another one.

        Both were made on generation 1. The second is refused, and the
        conflict shows the value that it would have overwritten, its author
        and its time.
        """
        path = ('classes', 'fast', 'floor')
        theirs = batch([conf.Edit(path, 0.3)], 'theirs')
        history = [merging.AcceptedBatch(2, theirs)]
        for ours, refused in (
                (conf.Edit(path, 0.4), True),
                (conf.Edit(path[:2], conf.REMOVE), True),
                (conf.Edit((*path, 'x'), 1), True),
                (conf.Edit(path, 0.3), False),
                (conf.Edit(('classes', 'slow', 'floor'), 0.4), False)):
            result = conf.merge(history, batch([ours], 'ours'))
            with self.subTest(ours=ours):
                self.assertEqual(refused, result.is_err())
            if refused:
                self.assertEqual(
                    (conf.Conflict(
                        ours, theirs.edits[0], 'theirs', 2,
                        'author-theirs', 100.0),),
                    result.unwrap_err())
            else:
                self.assertEqual(2, result.unwrap().base_generation)
        later = batch([conf.Edit(path, 0.4)], 'later', base=2)
        self.assertTrue(conf.merge(history, later).is_ok())
