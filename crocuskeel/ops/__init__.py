"""The daemon's side of the operators' interface.

Functions that turn a daemon's state and its recent events into answers
(frozen dataclasses), and :func:`register`, which serves them over HTTP.
"""

from crocuskeel.ops.access import check
from crocuskeel.ops.access import Denied
from crocuskeel.ops.access import Role
from crocuskeel.ops.binding import mount
from crocuskeel.ops.overview import Status
from crocuskeel.ops.overview import status
from crocuskeel.ops.routes import register
from crocuskeel.ops.routes import Runtime
from crocuskeel.ops.store import run_commit
from crocuskeel.ops.stories import explain
from crocuskeel.ops.stories import Story

__all__ = ["Denied", "Role", "Runtime", "Status", "Story", "check",
           "explain", "mount", "register", "run_commit", "status"]
