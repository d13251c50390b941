"""Lines of a settings text: where each key stands, which keys repeat.

The public json5 API gives no positions, so its parser is extended at the
one rule that reads a member of an object. This runs only for a text that
has a fault, since it parses the text a second time.
"""

from bisect import bisect_right
import dataclasses
from typing import Iterator

from json5 import parser

from crocuskeel.conf import model


@dataclasses.dataclass(frozen=True, slots=True)
class Positions:
    """Line of each path, and the keys that stand more than once.

    The last of several equal keys is the one that json5 reads, so it is
    the one that ``lines`` has.
    """

    lines: dict[model.Path, int]
    repeated: tuple['Repeated', ...]

    def line(self, path: model.Path) -> int:
        """Line of ``path`` or of its nearest parent in the text."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """A key that stands on ``line`` and stood before on ``first``."""

    path: model.Path
    line: int
    first: int


class _TracingParser(parser.Parser):
    def __init__(self, text: str):
        super().__init__(text, '<settings>')
        self.starts: dict[int, int] = {}

    def _member_(self):
        start = self.pos
        super()._member_()
        if not self.failed:
            # Nodes live as long as the tree that ``parse`` returns, so an
            # id can't be reused while it is looked up.
            self.starts[id(self.val)] = start

    def _value_(self):
        start = self.pos
        super()._value_()
        if not self.failed:
            self.starts[id(self.val)] = start


def _walk(node, path: model.Path) -> Iterator[tuple[model.Path, object]]:
    if not isinstance(node, (tuple, list)) or len(node) < 2:
        return
    if node[0] == 'object':
        for member in node[1]:
            inner = (*path, member[0])
            yield inner, member
            yield from _walk(member[1], inner)
    if node[0] == 'array':
        for number, item in enumerate(node[1]):
            inner = (*path, str(number))
            yield inner, item
            yield from _walk(item, inner)


def read_positions(text: str) -> Positions:
    """Return where each key of ``text``, a valid JSON5 text, stands."""
    tracing = _TracingParser(text)
    ast, _err, _pos = tracing.parse(
        {'_strict': True, '_consume_trailing': True})
    breaks = [at for at, char in enumerate(text) if char == '\n']
    lines: dict[model.Path, int] = {(): 1}
    repeated = []
    for path, node in _walk(ast, ()):
        line = bisect_right(breaks, tracing.starts.get(id(node), 0)) + 1
        if path in lines:
            repeated.append(Repeated(path, line, lines[path]))
        lines[path] = line
    return Positions(lines, tuple(repeated))
