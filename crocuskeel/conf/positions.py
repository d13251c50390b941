"""Line numbers of the keys of a settings text, and its repeated keys.

The public json5 API returns no positions, so this extends the parser's
rules for object members and values. It runs only for a text with a fault,
since it parses the text a second time.
"""

from bisect import bisect_right
import dataclasses
from typing import Iterator

from json5 import parser

from crocuskeel.conf import model


@dataclasses.dataclass(frozen=True, slots=True)
class Positions:
    """Line of each path, and the keys that occur more than once.

    json5 uses the last of several equal keys, so ``lines`` has its line.
    """

    lines: dict[model.Path, int]
    repeated: tuple['Repeated', ...]

    def line(self, path: model.Path) -> int:
        """Return the line of ``path`` or of its nearest parent."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """A key on ``line`` that occurs before on ``first_line``."""

    path: model.Path
    line: int
    first_line: int


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


def _walk_ast(node, path: model.Path) -> Iterator[tuple[model.Path, object]]:
    if not isinstance(node, (tuple, list)) or len(node) < 2:
        return
    if node[0] == 'object':
        for member in node[1]:
            child = (*path, member[0])
            yield child, member
            yield from _walk_ast(member[1], child)
    if node[0] == 'array':
        for number, item in enumerate(node[1]):
            child = (*path, str(number))
            yield child, item
            yield from _walk_ast(item, child)


def read_positions(text: str) -> Positions:
    """Return the positions of the keys of ``text``, a valid JSON5 text."""
    tracing = _TracingParser(text)
    ast, _err, _pos = tracing.parse(
        {'_strict': True, '_consume_trailing': True})
    newlines = [
        offset for offset, char in enumerate(text) if char == '\n']
    lines: dict[model.Path, int] = {(): 1}
    repeated = []
    for path, node in _walk_ast(ast, ()):
        line = bisect_right(newlines, tracing.starts.get(id(node), 0)) + 1
        if path in lines:
            repeated.append(Repeated(path, line, lines[path]))
        lines[path] = line
    return Positions(lines, tuple(repeated))
