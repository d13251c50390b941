"""Settings that several tests use."""

import hashlib
import pathlib

from crocuskeel import conf
from crocuskeel.conf import tree as trees

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def sha256(token: str) -> str:
    """Return the hash that is stored for a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def text(name: str = 'paddlegum') -> str:
    """Return the text of an example settings file."""
    return (EXAMPLES / f'{name}.jsonc').read_text()


def document(workspaces: int = 4) -> dict:
    """Return a small valid document with this many workspaces."""
    return {
        'deployment': {'name': 'test', 'failure_domains': ['a', 'b']},
        'services': {
            'llm': {'kind': 'engine', 'models': ['m']},
            'desk': {'kind': 'plain'},
        },
        'defaults': {'service': 'llm', 'floor': 0.1},
        'classes': {
            'fast': {'tier': 1, 'floor': 0.5},
            'slow': {'tier': 3},
            'book': {'service': 'desk', 'repeatable': False},
        },
        'workspaces': {
            f'w{number}': workspace(number) for number in range(workspaces)
        },
    }


def workspace(number: int) -> dict:
    """Return a workspace with a token and a few overrides."""
    return {
        'weight': 1 + number % 3,
        'classes': {'fast': {'max_tokens': 100 + number % 50}},
        'tokens': [{
            'caller': 'desk', 'sha256': sha256(f'w{number}-token')}],
    }


def tree(workspaces: int = 4) -> conf.Tree:
    """Return the tree of ``document`` as generation 1."""
    return trees.from_document(document(workspaces), 1)
