"""
Parses the addresses that come from outside.
"""

import re
from functools import lru_cache
from ipaddress import IPv4Address

from mallowcrank.gateway.settings import Address

MAX_KNOWN_ADDRESSES = 4096  # which aren't parsed again
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_HOST_NAME = 253  # characters (RFC 1035)
SHOWN_CHARACTERS = 80  # of an invalid address
_LABEL = '[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
_HOST_NAME = re.compile(rf'{_LABEL}(\.{_LABEL})*')


@lru_cache(MAX_KNOWN_ADDRESSES)
def parse_address(text: str) -> Address:
    """
    Parse `IP:PORT`, or a host name in place of the IP address.

    :raises ValueError: if no socket could be connected to it.
    """
    host, colon, port = text.rpartition(':')
    if not colon:
        raise ValueError(f'{_shown(text)} is not IP:PORT')
    if not _is_host(host):
        raise ValueError(f'{_shown(text)} has no valid host')
    return Address(host, parse_port(port))


def parse_port(text: str) -> int:
    """
    Parse a port.

    :raises ValueError: if it is none.
    """
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > MAX_PORT_DIGITS:
        raise ValueError(f'{_shown(text)} is not a port')
    return checked_port(int(text))


def checked_port(port: int) -> int:
    """
    Return a port that a socket can be connected to.

    :raises ValueError: if it is none.
    """
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'{port} is not a port from 1 to {MAX_PORT}')
    return port


def _is_host(text: str) -> bool:
    if len(text) > MAX_HOST_NAME or not _HOST_NAME.fullmatch(text):
        return False
    if not text.rpartition('.')[2].isdecimal():
        return True
    try:
        IPv4Address(text)
    except ValueError:
        return False
    return True


def _shown(text: str) -> str:
    """
    Return the beginning of an invalid text, for an error message.
    """
    return repr(text[:SHOWN_CHARACTERS])
