"""Settings text: faults with lines, inheritance, caller lookup."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from crocuskeel import conf
from crocuskeel.conf import checks
from crocuskeel.conf import schema
from crocuskeel.conf import tree as trees
from tests.conf import samples

# Each line of one text, with the ids of the faults expected there.
FAULTY = (
    ('{ // every fault below is reported in one run', ()),
    ('deployment: {name: "x", failure_domains: ["a"]},', ()),
    ('services: {s1: {kind: "no"}, s0: {kind: "engin"},', ('E005',)),
    ('  s1: {kind: "engine"}, s2: {kind: "plain", modles: []}},',
     ('E002', 'E003', 'E103', 'E110')),
    ('defaults: {teir: 1, deadline_s: NaN},', ('E003', 'E004')),
    ('classes: {a: {service: "s3", floor: 0.7, tier: 4},',
     ('E005', 'E101')),
    ('  b: {service: "s1", floor: 0.7, late: "maybe", deadline_s: 0.5,',
     ('E005', 'E105', 'E108')),
    ('    repeatable: false, hedge: true}, ', ()),
    ('  c: {service: "s1", floor: 0.7, tier: "1"},', ('E004',)),
    ('  d: {}, "Bad Name": {service: "s1"},', ('E007', 'E106')),
    ('  e: {service: 5, tier: true, target_ttft_s: 0}},',
     ('E004', 'E004', 'E005', 'E101')),
    ('workspaces: {w1: {floor: 1, classes: {aa: {}},', ('E003', 'E102')),
    ('  tokens: [{caller: "x", sha256: "00"}]}, w2: 5,',
     ('E004', 'E007')),
    ('w3: {tokens: [{sha256: "00", roles: ["all"]}], weight: Infinity,',
     ('E004', 'E005', 'E006', 'E007', 'E104')),
    ('  classes: {a: {hedge: true, repeatable: false}}}}}', ('E105',)),
)
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers()
    | strategies.floats() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from([
            'a', 'classes', 'tokens', 'sha256', 'service', 'floor',
            'hedge', 'repeatable', 'deadline_s', 'kind', 'models']),
        inner, max_size=4),
    max_leaves=12)
DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from(schema.SECTIONS), JSON)


class ParsingTest(unittest.TestCase):

    def test_all_faults_at_once_with_line_and_hint(self):
        """Guards against reporting only the first of many faults.

        The operator would have to fix them one run at a time. Every fault
        is reported in one run, with its line.
        """
        text = '\n'.join(line for line, _ids in FAULTY)
        found = conf.parse(text).unwrap_err()
        for number, (line, ids) in enumerate(FAULTY, start=1):
            here = sorted(
                fault.id for fault in found if fault.line == number)
            with self.subTest(line=line):
                self.assertEqual(
                    [f'conf.{fault_id}' for fault_id in ids], here)
        hints = {fault.path: fault.hint for fault in found}
        self.assertIn("'models'", hints['services', 's2', 'modles'])
        self.assertIn("'tier'", hints['defaults', 'teir'])

    def test_unreadable_text_has_one_fault(self):
        for text in ('', '[1]', '{"a":}', '{a:' + '[' * 100_000):
            faults = conf.parse(text).unwrap_err()
            self.assertEqual(['conf.E001'], [fault.id for fault in faults])
        self.assertEqual(
            3, conf.parse('{"a": 1}\n\n}').unwrap_err()[0].line)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(DOCUMENTS)
    def test_any_document_is_validated_without_an_exception(self, document):
        self.assertTrue(all(
            isinstance(fault, conf.SettingsFault)
            for fault in checks.document_faults(document)))


class ExamplesTest(unittest.TestCase):

    def test_examples_are_valid_and_their_tokens_are_found(self):
        for example in ('paddlegum', 'wellness'):
            tree = conf.parse(samples.text(example)).unwrap()
            names = [name for name, _body in conf.workspaces(tree)]
            self.assertEqual(10, len(names))
            for workspace in names:
                token = samples.sha256(f'{workspace}-token')
                caller = conf.find_caller(tree, token)
                self.assertEqual(workspace, caller.workspace)
            operator = conf.find_caller(
                tree, samples.sha256('operator-token'))
            self.assertEqual(('read', 'change'), operator.roles)


class ResolvingTest(unittest.TestCase):

    def test_highest_layer_applies_and_is_reported(self):
        document = samples.document(2)
        layers = (
            (conf.Layer.BUILTIN, None, 200),
            (conf.Layer.DEFAULT, document['defaults'], 11),
            (conf.Layer.WORKSPACE, document['workspaces']['w1'], 12),
            (conf.Layer.CLASS, document['classes']['fast'], 13),
            (conf.Layer.WORKSPACE_CLASS,
             document['workspaces']['w1']['classes']['fast'], 14),
        )
        for layer, layer_settings, value in layers:
            if layer_settings is not None:
                layer_settings['queue_limit'] = value
            tree = trees.from_document(document, 7)
            policy = conf.resolve(tree, 'w1', 'fast')
            found = conf.find_origin(tree, 'w1', 'fast', 'queue_limit')
            self.assertEqual((7, value), (
                policy.generation, policy.queue_limit))
            self.assertEqual((layer, value), (found.layer, found.value))
        self.assertEqual('plain', conf.resolve(tree, 'w1', 'book').kind)
        self.assertIsNone(conf.resolve(tree, 'w1', 'none'))
        self.assertIsNone(conf.resolve(tree, 'none', 'fast'))

    def test_caches_are_bounded(self):
        """Guards against memory growth with each workspace that calls.

        A daemon that sees 18,000 workspaces in a day would exceed its
        memory limit and be killed. The caches of decoded shards, policies
        and callers are bounded for any keys, unknown ones included.
        """
        tree = samples.tree(300)
        for number in range(3000):
            name = f'w{number}'
            conf.resolve(tree, name, 'fast')
            conf.find_caller(tree, samples.sha256(f'{name}-token'))
        for cache, max_size in (
                (tree.decode, trees.MAX_DECODED_SHARDS),
                (tree.lookups.policy, trees.MAX_CACHED_POLICIES),
                (tree.lookups.caller, trees.MAX_CACHED_CALLERS)):
            self.assertEqual(max_size, cache.cache_info().currsize)

    def test_tokens_with_the_same_hash_prefix(self):
        """Guards against identifying a caller as another workspace's.

        The index has eight bytes of a hash. Tokens that share them must be
        distinguished by the full hash, and an unknown token with the same
        bytes must not be found.
        """
        document = samples.document(4)
        hashes = {
            f'w{number}': 'ab' * 8 + f'{number:048x}' for number in range(4)}
        for name, sha256 in hashes.items():
            document['workspaces'][name]['tokens'][0]['sha256'] = sha256
        tree = trees.from_document(document, 1)
        for name, sha256 in hashes.items():
            self.assertEqual(name, conf.find_caller(tree, sha256).workspace)
        for unknown in ('ab' * 8 + 'f' * 48, 'ab' * 8, '', 'zz'):
            self.assertIsNone(conf.find_caller(tree, unknown))
