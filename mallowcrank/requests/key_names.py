"""
Names of idempotency keys.

A key that starts with a prefix from `/v1/addresses` names its keeper: the one
incarnation of one router that may start it, up to the prefix's expiry.
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
    A key with its keeper.

    :param expiry: seconds since the epoch, by the keeper's clock; the key is
        not started later.
    """

    key: str
    router: str
    incarnation: str
    expiry: int


def key_prefix(router: str, incarnation: str, expiry: int) -> str:
    """
    Return the prefix of keys that this router keeps.
    """
    return f'{PREFIX_VERSION}.{router}.{incarnation}.{expiry}.'


def read_key(key: str) -> KeyName | None:
    """
    Return a key's keeper, or `None` where it names none.
    """
    found = _PREFIXED.match(key)
    if found is None:
        return None
    return KeyName(
        key, found['router'], found['incarnation'], int(found['expiry'])
    )
