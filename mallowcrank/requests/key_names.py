"""
Format of idempotency keys.

A key that starts with a prefix from `/v1/addresses` names its keeper: the
router, in one incarnation, which alone may start the key, and only until the
prefix expires.
"""

import re
from dataclasses import dataclass

PREFIX_VERSION = 'mc1'

_PREFIXED = re.compile(
    rf'^{PREFIX_VERSION}\.(?P<router>[\w.-]+)\.(?P<incarnation>[0-9a-f]{{16}})'
    r'\.(?P<expiry>[0-9]{1,12})\.(?P<own>.+)$',
    re.ASCII,
)


@dataclass(frozen=True, slots=True)
class KeyName:
    """
    A key that names its keeper.

    :param expiry: seconds since the epoch, by the keeper's clock, after which
        the key is not started.
    """

    key: str
    router: str
    incarnation: str
    expiry: int


def key_prefix(router: str, incarnation: str, expiry: int) -> str:
    """
    Return the prefix of keys that are kept by this router.
    """
    return f'{PREFIX_VERSION}.{router}.{incarnation}.{expiry}.'


def read_key(key: str) -> KeyName | None:
    """
    Parse a key; return `None` if it names no keeper.
    """
    parsed = _PREFIXED.match(key)
    if parsed is None:
        return None
    return KeyName(
        key, parsed['router'], parsed['incarnation'], int(parsed['expiry'])
    )
