"""Reads and writes files; a failure names the file and the reason."""

from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from result import Err
from result import Ok

__all__ = ["read", "write"]


def read(session, name):
    """Return Ok of a file's text or Err(Failure)."""
    try:
        return Ok(session.read_text(name))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(Failure(Code.USAGE, f"{name}: {exc}"))


def write(session, name, text):
    """Write a file; Ok of its name or Err(Failure)."""
    try:
        session.write_text(name, text)
    except OSError as exc:
        return Err(Failure(Code.USAGE, f"{name}: {exc}"))
    return Ok(name)
