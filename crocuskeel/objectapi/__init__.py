"""Client of the platform's Object API and host list."""

from crocuskeel.objectapi.client import ClientConfig
from crocuskeel.objectapi.client import new_client
from crocuskeel.objectapi.exceptions import NotSent
from crocuskeel.objectapi.exceptions import ResponseLost
from crocuskeel.objectapi.exceptions import TransportError
from crocuskeel.objectapi.results import Conflict
from crocuskeel.objectapi.results import Found
from crocuskeel.objectapi.results import HostEntry
from crocuskeel.objectapi.results import HostList
from crocuskeel.objectapi.results import HttpResponse
from crocuskeel.objectapi.results import NotFound
from crocuskeel.objectapi.results import ObjectList
from crocuskeel.objectapi.results import ObjectRef
from crocuskeel.objectapi.results import Rejected
from crocuskeel.objectapi.results import Unavailable
from crocuskeel.objectapi.results import Unchanged
from crocuskeel.objectapi.results import WriteUnknown
from crocuskeel.objectapi.results import Written
from crocuskeel.objectapi.transport import new_treq_send

__all__ = [
    "ClientConfig", "Conflict", "Found", "HostEntry", "HostList",
    "HttpResponse", "NotFound", "NotSent", "ObjectList", "ObjectRef",
    "Rejected", "ResponseLost", "TransportError", "Unavailable", "Unchanged",
    "WriteUnknown", "Written", "new_client", "new_treq_send",
]
