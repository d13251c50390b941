"""One holder at a time, by a lease that lies in a versioned object.

The functions of :mod:`~crocuskeel.core.leadership.lease` take the state
of one process that may hold it, a :class:`Candidate`, and return effects.
The control program and the entry hosts both hold their lease this way.
"""

from crocuskeel.core.leadership.state import Candidate
from crocuskeel.core.leadership.state import Config
from crocuskeel.core.leadership.state import Lease
from crocuskeel.core.leadership.state import NEVER

__all__ = ["Candidate", "Config", "Lease", "NEVER"]
