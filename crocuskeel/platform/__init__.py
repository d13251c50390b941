"""The adapter to the platform: its settings, store and headers.

All names of the platform's wire stand here and nowhere else. They are
decoded once into :mod:`crocuskeel.core.entry.model`.
"""

from crocuskeel.platform.boot import Boot
from crocuskeel.platform.boot import read_boot
from crocuskeel.platform.exceptions import BadBoot
from crocuskeel.platform.exceptions import BadObject
from crocuskeel.platform.exceptions import PlatformError
from crocuskeel.platform.headers import new_dialect

__all__ = ["BadBoot", "BadObject", "Boot", "PlatformError", "new_dialect",
           "read_boot"]
