"""Architecture rules that can be checked automatically."""

import ast
import dataclasses
import pathlib
import re
import typing
import unittest

from crocuskeel.core import messages
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_pb2 as pb

ROOT = pathlib.Path(__file__).resolve().parent.parent
PURE = ("core", "conf")
FORBIDDEN_IN_PURE = (
    "twisted", "klein", "treq", "grpclib", "loguru", "asyncio", "statsd",
    "time", "socket", "crocuskeel.runtime", "crocuskeel.objectapi",
    "crocuskeel.gateway", "crocuskeel.platform", "h11", "msgpack",
    "crocuskeel.ctl", "crocuskeel.ops", "crocuskeel.wire",
    "crocuskeel.programs", "crocuskeel.control")
MAX_LINES = 400
SAMPLES = {str: "x", int: 7, float: 0.5, bool: True, bytes: b"y"}


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{a.name}" for a in node.names)


def _sample(kind):
    values = {}
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        if typing.get_origin(hint) is tuple:
            values[field.name] = (_value(typing.get_args(hint)[0]),)
        else:
            values[field.name] = _value(hint)
    return kind(**values)


def _value(hint):
    return SAMPLES[hint] if hint in SAMPLES else _sample(hint)


class LayersTest(unittest.TestCase):
    """Rules on imports, sizes and the wire schema."""

    def test_pure_packages_import_no_runtime(self):
        for package in PURE:
            for path in (ROOT / "crocuskeel" / package).rglob("*.py"):
                for name in _imports(path):
                    forbidden = [
                        rule for rule in FORBIDDEN_IN_PURE
                        if name == rule or name.startswith(rule + ".")]
                    self.assertEqual([], forbidden, f"{path.name}: {name}")

    def test_platform_names_stay_in_its_package(self):
        # The platform's own names throughout the code would tie the product
        # to one platform, and readers would have to learn two vocabularies.
        words = re.compile(
            r"X-Crocuskeel-(Request|Deadline|Server-|Expect|Not-Run|Token"
            r"|Prefix|Tenant|Req-|Hold|Pin|Kv|Model)|/crocuskeel/(objects"
            r"|resolve|ready|report)|Listen\.Front|WaitMs|AsOf")
        offenders = []
        for path in sorted((ROOT / "crocuskeel").rglob("*.py")):
            inside = path.parent.name == "platform"
            if not inside and words.search(path.read_text()):
                offenders.append(path.name)
        self.assertEqual([], offenders)

    def test_no_file_is_over_the_size_limit(self):
        for top in ("crocuskeel", "standins", "bench", "emulator", "tools",
                    "tests"):
            for path in (ROOT / top).rglob("*.py"):
                if path.name.endswith(("_pb2.py", "_grpc.py")):
                    continue
                count = len(path.read_text().splitlines())
                self.assertLessEqual(count, MAX_LINES, path.name)

    def test_every_message_round_trips(self):
        for kind in typing.get_args(messages.Message):
            with self.subTest(kind=kind.__name__):
                message = _sample(kind)
                frame = pb.Frame.FromString(
                    wire.to_frame(message).SerializeToString())
                self.assertEqual(message, wire.from_frame(frame))
                names = [f.name for f in dataclasses.fields(kind)]
                body = getattr(pb, kind.__name__).DESCRIPTOR
                self.assertEqual(names, [f.name for f in body.fields])


class SealedBatchTest(unittest.TestCase):
    """Only batches sealed with the deployment's key are accepted."""

    KEY = b"k" * 32

    def _seal(self, key=KEY, deployment="wa-south", receiver="b"):
        batch = pb.Batch(
            deployment=deployment, sender="a", receiver=receiver)
        return wire.seal(key, batch)

    def test_refused_batches(self):
        rows = (
            (wire.AuthenticationError, self._seal(key=b"x" * 32)),
            (wire.WrongRecipient, self._seal(deployment="chiang-rai")),
            (wire.WrongRecipient, self._seal(receiver="c")),
        )
        for error, sealed in rows:
            with self.assertRaises(error):
                wire.open_sealed(self.KEY, sealed, "wa-south", "b")

    def test_valid_batch_is_accepted(self):
        batch = wire.open_sealed(self.KEY, self._seal(), "wa-south", "b")
        self.assertEqual("a", batch.sender)
