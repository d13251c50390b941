"""Storage layout: small writes, deltas, damaged parts."""

import hashlib
import unittest
from unittest import mock
import zlib

from crocuskeel import conf
from crocuskeel.conf import parts
from crocuskeel.conf import storage
from tests.conf import samples

WORKSPACE_COUNT = 600
EDIT = conf.Edit(('workspaces', 'w5', 'weight'), 7)


def prepared(tree, *edits):
    batch = conf.new_batch('op', 1.0, tree.generation, edits)
    return storage.prepare(tree, None, batch).unwrap()


class LayoutTest(unittest.TestCase):

    def test_one_edit_rewrites_one_shard(self):
        """Guards against exceeding the platform's write budget.

        An edit of one workspace must not rewrite all of them. It writes
        the workspace's shard, the index and the delta, regardless of the
        number of workspaces.
        """
        tree = samples.tree(WORKSPACE_COUNT)
        written = prepared(tree, EDIT).parts
        self.assertEqual(3, len(written))
        all_parts = storage.tree_parts(tree).values()
        total = sum(len(part.blob) for part in all_parts)
        rewritten = sum(len(part.blob) for part in written)
        self.assertLess(rewritten, total / 4)

    def test_delta_and_full_load_give_the_same_tree(self):
        tree = samples.tree(WORKSPACE_COUNT)
        result = prepared(
            tree, EDIT, conf.Edit(('cell_size',), 3),
            conf.Edit(('workspaces', 'w6'), conf.REMOVE))
        delta = storage.decode_delta(storage.delta_part(result.delta))
        index = storage.decode_index(storage.index_part(result.tree))
        stored = {part.digest: part for part in result.parts}
        by_delta = conf.apply_delta(tree, delta).unwrap()
        by_parts = conf.assemble(2, index, stored, tree)
        by_full_load = conf.assemble(2, index, storage.tree_parts(result.tree))
        for found in (by_delta, by_parts, by_full_load):
            self.assertEqual(
                result.head.index_digest, storage.index_part(found).digest)
            self.assertEqual(2, found.generation)
            self.assertEqual(result.tree.tokens, found.tokens)
        self.assertLessEqual(
            conf.missing_parts(index, tree), set(stored))
        head = storage.decode_head(storage.encode_head(result.head))
        self.assertEqual(result.head, head)

    def test_delta_applies_only_to_its_own_parent_tree(self):
        """Guards against a host that reaches a tree nobody accepted.

        A delta can arrive twice, late, or from a peer whose tree differs;
        after a revert it even leads to a tree that existed before. The
        host would go back, skip a batch or diverge, and handle requests by
        settings that were never accepted.
        """
        tree = samples.tree()
        delta = prepared(tree, EDIT).delta
        after = conf.apply_delta(tree, delta).unwrap()
        other = samples.tree(3)
        removal = conf.Edit(('workspaces', 'w5'), conf.REMOVE)
        undo = prepared(after, removal).delta
        reverted = conf.apply_delta(after, undo).unwrap()
        self.assertEqual(
            conf.to_document(tree), conf.to_document(reverted))
        self.assertTrue(conf.apply_delta(after, delta).is_err())
        self.assertTrue(conf.apply_delta(reverted, delta).is_err())
        self.assertTrue(conf.apply_delta(other, delta).is_err())
        self.assertTrue(conf.apply_delta(conf.empty_tree(), delta).is_err())

    def test_damaged_parts_are_refused(self):
        """Guards against using a truncated, damaged or wrong part.

        An answer of a peer or the platform would be used as settings that
        nobody accepted, and a small part that decompresses to gigabytes
        would exhaust the daemon's memory.
        """
        valid = parts.new_part({'a': 1})
        zeros = b'0' * (parts.MAX_PLAIN_BYTES + 1)
        bomb = conf.Part(
            hashlib.sha256(zeros).hexdigest(), zlib.compress(zeros))
        with self.assertRaises(conf.PartCorrupt):
            parts.decode_part(bomb)
        for blob in (b'', b'junk', valid.blob[:-1], valid.blob[:-5],
                     parts.new_part({'a': 2}).blob):
            with self.assertRaises(conf.PartCorrupt):
                parts.decode_part(conf.Part(valid.digest, blob))
        for stored in (b'', b'[]', b'{}', b'{"recent": [[1]]}'):
            with self.assertRaises(conf.PartCorrupt):
                storage.decode_head(stored)
        index = storage.decode_index(storage.index_part(samples.tree()))
        with self.assertRaises(conf.PartCorrupt):
            conf.assemble(1, index, {})

    def test_batch_too_large_for_one_object_is_refused(self):
        edits = [
            conf.Edit(('workspaces', f'x{number}'),
                      samples.workspace(number + WORKSPACE_COUNT))
            for number in range(50)]
        batch = conf.new_batch('op', 1.0, 1, edits)
        with mock.patch.object(parts, 'MAX_BLOB_BYTES', 2000):
            result = storage.prepare(samples.tree(), None, batch)
        fault = result.unwrap_err()[0]
        self.assertEqual('conf.E203', fault.id)
        self.assertIn('split', fault.hint)
