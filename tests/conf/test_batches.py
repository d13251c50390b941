"""Batches: whole or not at all, merged where disjoint, told apart."""

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

# Paths that overlap in many ways, with values right and wrong for them.
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
SEEDED = settings(derandomize=True, deadline=None, max_examples=400)


def batch(edits, name='b', base=1):
    return conf.Batch(name, f'author-{name}', 100.0, base, tuple(edits))


def valid_edits():
    """Return a strategy of edit lists, each edit valid by itself."""
    tree = samples.tree()
    every = [conf.Edit(path, value) for path in PATHS for value in VALUES]
    valid = [edit for edit in every if conf.apply(tree, batch([edit])).is_ok()]
    return strategies.lists(
        strategies.sampled_from(valid), min_size=1, max_size=3)


def merged(tree, first, second):
    """Return the tree after both, or None where either is refused."""
    after = conf.apply(tree, first)
    if after.is_err():
        return None
    history = [merging.Accepted(after.unwrap().generation, first)]
    rebased = conf.merge(history, second)
    if rebased.is_err():
        return None
    return conf.apply(after.unwrap(), rebased.unwrap()).ok()


VALID_EDITS = valid_edits()


class ApplyTest(unittest.TestCase):

    @SEEDED
    @given(EDITS)
    def test_partial_checks_find_what_a_whole_check_finds(self, edits):
        """A batch is accepted although the tree it makes has a fault.

        Only touched parts are checked; a fault between a touched part
        and one that is not (a token of another workspace, a class that
        overrides still name) would get in force everywhere.
        """
        tree = samples.tree()
        before = conf.to_document(tree)
        expected = before
        try:
            for edit in edits:
                expected = batches.edited(expected, *edit)
        except conf.ConfError:
            expected = None
        assume(not any(
            batches.overlap(one.path, other.path)
            for one, other in itertools.combinations(edits, 2)))
        result = conf.apply(tree, batch(edits))
        valid = expected is not None and not checks.document_faults(expected)
        self.assertEqual(valid, result.is_ok())
        if valid:
            found = conf.to_document(result.unwrap())
            expected.setdefault('workspaces', {})
            self.assertEqual(expected, {'workspaces': {}, **found})
        self.assertEqual(before, conf.to_document(tree))

    @SEEDED
    @given(VALID_EDITS)
    def test_reversal_restores_the_tree(self, edits):
        tree = samples.tree()
        after = conf.apply(tree, batch(edits))
        assume(after.is_ok())
        back = conf.reversal(tree, batch(edits))
        restored = conf.apply(after.unwrap(), batch(back)).unwrap()
        self.assertEqual(
            conf.to_document(tree), conf.to_document(restored))
        self.assertEqual(3, restored.generation)

    def test_diff_leads_from_one_example_to_the_other(self):
        tree = conf.parse(samples.text('paddlegum')).unwrap()
        wanted = conf.parse_document(samples.text('wellness')).unwrap()
        edits = conf.document_edits(tree, wanted)
        after = conf.apply(tree, batch(edits)).unwrap()
        self.assertEqual(wanted, conf.to_document(after))

    def test_overlapping_edits_in_one_batch_are_refused(self):
        edits = (
            conf.Edit(('classes', 'fast', 'tier'), 2),
            conf.Edit(('cell_size',), 2),
            conf.Edit(('classes', 'fast'), {'tier': 3}))
        faults = conf.apply(samples.tree(), batch(edits)).unwrap_err()
        self.assertEqual(['conf.E202'], [fault.id for fault in faults])


class MergeTest(unittest.TestCase):

    @SEEDED
    @given(VALID_EDITS, VALID_EDITS)
    def test_disjoint_batches_commute(self, ours, theirs):
        """Two operators' edits end in another tree by order of arrival.

        Each is right by itself and they touch nothing in common, so the
        result must not hang on who was first.
        """
        tree = samples.tree()
        first, second = batch(ours, 'a'), batch(theirs, 'b')
        assume(conf.apply(tree, first).is_ok())
        assume(conf.apply(tree, second).is_ok())
        one = merged(tree, first, second)
        other = merged(tree, second, first)
        self.assertEqual(one is None, other is None)
        if one is not None:
            self.assertEqual(
                conf.to_document(one), conf.to_document(other))
            self.assertEqual((3, 3), (one.generation, other.generation))

    def test_conflict_names_both_values_author_and_time(self):
        """A release-day edit silently undoes that of another operator.

        Both were made on generation 1. The second is refused, and says
        what it would have overwritten, whose, and when that was set.
        """
        path = ('classes', 'fast', 'floor')
        theirs = batch([conf.Edit(path, 0.3)], 'theirs')
        history = [merging.Accepted(2, theirs)]
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
