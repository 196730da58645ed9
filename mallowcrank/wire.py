"""
Authenticated msgpack frames between the system's own processes.

A frame is a msgpack array of key number, MAC and body. The body is a msgpack
map with a `type`. Two keys may be valid at a time, so that keys can be rotated.
"""

import hashlib
import hmac
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgpack

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAC_BYTES = 16
FRAME_PARTS = 3

NO_FRAME = object()  # the buffer holds no complete frame


class BadFrameError(Exception):
    """
    A frame is malformed, too large, or not authentic.
    """


@dataclass(frozen=True)
class KeyRing:
    """
    The keys that peers share.

    :param current: the number of the signing key.
    :param keys: keys by number; frames signed with any of them are accepted.
    """

    current: int = 0
    keys: Mapping[int, bytes] = field(default_factory=lambda: {0: b''})

    def sign(self, body: bytes) -> tuple[int, bytes]:
        """
        Sign a body.

        :returns: the number of the signing key, and the MAC.
        """
        return self.current, _mac(self.keys[self.current], body)

    def verify(self, number: int, mac: bytes, body: bytes) -> bool:
        """
        Return whether a body was signed with the key of this number.
        """
        key = self.keys.get(number)
        return key is not None and hmac.compare_digest(_mac(key, body), mac)


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()


def pack_frame(body: Mapping[str, Any], keys: KeyRing) -> bytes:
    """
    Encode and sign one message.
    """
    packed = msgpack.packb(body)
    number, mac = keys.sign(packed)
    return msgpack.packb((number, mac, packed))


class FrameReader:
    """
    Decodes received bytes into message bodies.
    """

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys
        # The sender is not authenticated yet: the length fields of its bytes
        # must not make this process allocate memory.
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES,
            max_array_len=FRAME_PARTS,
            max_map_len=0,
            max_str_len=0,
            max_ext_len=0,
        )

    def feed(self, received: bytes) -> Iterator[dict[str, Any]]:
        """
        Add received bytes and yield the body of each complete frame.

        :raises BadFrameError: when a frame is too large, malformed or not
            authentic.
        """
        try:
            self._unpacker.feed(received)
        except msgpack.BufferFull as error:
            raise BadFrameError('the frame is too large') from error
        for frame in iter(self._next_frame, NO_FRAME):
            yield self._decode(frame)

    def _next_frame(self) -> Any:
        try:
            return next(self._unpacker, NO_FRAME)
        except (ValueError, msgpack.UnpackException) as error:
            raise BadFrameError('the frame is malformed') from error

    def _decode(self, frame: Any) -> dict[str, Any]:
        if not _is_frame(frame):
            raise BadFrameError('the frame is malformed')
        number, mac, packed = frame
        if not self._keys.verify(number, mac, packed):
            raise BadFrameError('the frame is not authentic')
        return _unpack(packed)


def _is_frame(frame: Any) -> bool:
    if not isinstance(frame, list) or len(frame) != FRAME_PARTS:
        return False
    number, mac, packed = frame
    return (
        isinstance(number, int)
        and isinstance(mac, bytes)
        and isinstance(packed, bytes)
    )


def _unpack(packed: bytes) -> dict[str, Any]:
    try:
        body = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        raise BadFrameError('the body is malformed') from error
    if not isinstance(body, dict):
        raise BadFrameError('the body is not a map')
    return body
