"""Settings follower: learns of new generations and adopts them in order."""

from crocuskeel.core.follower.handlers import handle
from crocuskeel.core.follower.handlers import hear
from crocuskeel.core.follower.parking import forget
from crocuskeel.core.follower.parking import park
from crocuskeel.core.follower.parking import unpark
from crocuskeel.core.follower.state import caller
from crocuskeel.core.follower.state import FollowerState
from crocuskeel.core.follower.state import generation
from crocuskeel.core.follower.state import new_state
from crocuskeel.core.follower.state import policy
from crocuskeel.core.follower.state import ready

__all__ = ["FollowerState", "caller", "forget", "generation", "handle",
           "hear", "new_state", "park", "policy", "ready", "unpark"]
