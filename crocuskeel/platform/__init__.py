"""Client of the platform's Object API and host list."""

from crocuskeel.platform.client import ClientConfig
from crocuskeel.platform.client import new_client
from crocuskeel.platform.exceptions import AnswerLost
from crocuskeel.platform.exceptions import NotSent
from crocuskeel.platform.exceptions import PlatformError
from crocuskeel.platform.results import Conflict
from crocuskeel.platform.results import Found
from crocuskeel.platform.results import HostEntry
from crocuskeel.platform.results import HostList
from crocuskeel.platform.results import HttpAnswer
from crocuskeel.platform.results import Listed
from crocuskeel.platform.results import NotFound
from crocuskeel.platform.results import ObjectRef
from crocuskeel.platform.results import Rejected
from crocuskeel.platform.results import Unavailable
from crocuskeel.platform.results import Unchanged
from crocuskeel.platform.results import WriteUnknown
from crocuskeel.platform.results import Written
from crocuskeel.platform.transport import new_treq_send

__all__ = [
    "AnswerLost", "ClientConfig", "Conflict", "Found", "HostEntry",
    "HostList", "HttpAnswer", "Listed", "NotFound", "NotSent",
    "ObjectRef", "PlatformError", "Rejected", "Unavailable",
    "Unchanged", "WriteUnknown", "Written", "new_client",
    "new_treq_send",
]
