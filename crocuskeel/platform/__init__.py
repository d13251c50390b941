"""Adapter to the platform: its settings file, store and headers.

This package alone knows the names of the platform's protocols. It decodes
them into the types of :mod:`crocuskeel.core.entry.model`.
"""

from crocuskeel.platform.boot import BootSettings
from crocuskeel.platform.boot import parse_boot_settings
from crocuskeel.platform.exceptions import BootSettingsError
from crocuskeel.platform.exceptions import InvalidObjectError
from crocuskeel.platform.exceptions import PlatformError
from crocuskeel.platform.headers import new_header_codec

__all__ = ["BootSettings", "BootSettingsError", "InvalidObjectError",
           "PlatformError", "new_header_codec", "parse_boot_settings"]
