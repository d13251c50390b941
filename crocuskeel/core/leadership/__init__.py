"""Leader election by a lease that is kept in a versioned object.

The functions of :mod:`~crocuskeel.core.leadership.lease` take the state
of one process that may hold the lease, a :class:`Candidate`, and return
effects. Both the control program and the entry hosts use them.
"""

from crocuskeel.core.leadership.state import Candidate
from crocuskeel.core.leadership.state import Config
from crocuskeel.core.leadership.state import Lease
from crocuskeel.core.leadership.state import NEVER

__all__ = ["Candidate", "Config", "Lease", "NEVER"]
