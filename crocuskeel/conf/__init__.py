"""The settings: parsing, inheritance, batches, storage and commits."""

from crocuskeel.conf.batches import apply_batch
from crocuskeel.conf.batches import Batch
from crocuskeel.conf.batches import Edit
from crocuskeel.conf.batches import new_batch
from crocuskeel.conf.batches import REMOVE
from crocuskeel.conf.commit import Commit
from crocuskeel.conf.commit import commit_step
from crocuskeel.conf.commit import Committed
from crocuskeel.conf.commit import new_commit
from crocuskeel.conf.commit import Outcome
from crocuskeel.conf.commit import Reason
from crocuskeel.conf.commit import Refused
from crocuskeel.conf.exceptions import ConfError
from crocuskeel.conf.exceptions import PartCorrupt
from crocuskeel.conf.exceptions import PartTooLarge
from crocuskeel.conf.merging import Conflict
from crocuskeel.conf.merging import diff
from crocuskeel.conf.merging import document_edits
from crocuskeel.conf.merging import merge
from crocuskeel.conf.merging import reversal
from crocuskeel.conf.model import CallerIdentity
from crocuskeel.conf.model import ClassPolicy
from crocuskeel.conf.model import Layer
from crocuskeel.conf.model import Origin
from crocuskeel.conf.model import Part
from crocuskeel.conf.model import ServicePolicy
from crocuskeel.conf.model import SettingsFault
from crocuskeel.conf.model import Tree
from crocuskeel.conf.parsing import parse
from crocuskeel.conf.parsing import parse_document
from crocuskeel.conf.resolving import cell_size
from crocuskeel.conf.resolving import find_caller
from crocuskeel.conf.resolving import find_origin
from crocuskeel.conf.resolving import find_service
from crocuskeel.conf.resolving import resolve
from crocuskeel.conf.storage import apply_delta
from crocuskeel.conf.storage import assemble
from crocuskeel.conf.storage import Delta
from crocuskeel.conf.storage import Head
from crocuskeel.conf.storage import Index
from crocuskeel.conf.storage import missing_parts
from crocuskeel.conf.tree import empty_tree
from crocuskeel.conf.tree import to_document
from crocuskeel.conf.tree import workspaces

__all__ = [
    'Batch',
    'CallerIdentity',
    'ClassPolicy',
    'Commit',
    'Committed',
    'ConfError',
    'Conflict',
    'Delta',
    'Edit',
    'Head',
    'Index',
    'Layer',
    'Origin',
    'Outcome',
    'Part',
    'PartCorrupt',
    'PartTooLarge',
    'REMOVE',
    'Reason',
    'Refused',
    'ServicePolicy',
    'SettingsFault',
    'Tree',
    'apply_batch',
    'apply_delta',
    'assemble',
    'cell_size',
    'commit_step',
    'diff',
    'document_edits',
    'empty_tree',
    'find_caller',
    'find_origin',
    'find_service',
    'merge',
    'missing_parts',
    'new_batch',
    'new_commit',
    'parse',
    'parse_document',
    'resolve',
    'reversal',
    'to_document',
    'workspaces',
]
