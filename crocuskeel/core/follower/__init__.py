"""Settings follower: learns of new generations and adopts them in order."""

from crocuskeel.core.follower.handlers import handle
from crocuskeel.core.follower.handlers import record_peer_generation
from crocuskeel.core.follower.parking import drop_parked
from crocuskeel.core.follower.parking import park
from crocuskeel.core.follower.parking import take_released
from crocuskeel.core.follower.recovery import waits_for
from crocuskeel.core.follower.state import caller
from crocuskeel.core.follower.state import FollowerState
from crocuskeel.core.follower.state import generation
from crocuskeel.core.follower.state import is_recovered
from crocuskeel.core.follower.state import new_state
from crocuskeel.core.follower.state import policy
from crocuskeel.core.follower.state import ready

__all__ = ["FollowerState", "caller", "drop_parked", "generation", "handle",
           "is_recovered", "new_state", "park", "policy", "ready",
           "record_peer_generation", "take_released", "waits_for"]
