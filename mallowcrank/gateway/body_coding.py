"""
Compression of what gateways fetch from each other.
"""

import zlib
from functools import lru_cache

from mallowcrank.gateway.ports import Headers
from mallowcrank.gateway.target_channel import MAX_BODY_BYTES, Response

ACCEPT_DEFLATE = (b'Accept-Encoding', b'deflate')
DEFLATED = (b'Content-Encoding', b'deflate')
LEVEL = 1  # JSON shrinks to a tenth or less, in about a millisecond


def encode_body(accepted: Headers, body: bytes) -> tuple[Headers, bytes]:
    """
    Compress a body if the request allows it.

    :param accepted: headers of the request.
    :returns: further headers of the answer, and its body.
    """
    if not _has(accepted, ACCEPT_DEFLATE):
        return (), body
    return (DEFLATED,), _deflate(body)


def decode_body(response: Response) -> bytes:
    """
    Return the body of an answer, decompressed if need be.

    :raises ValueError: if it is malformed, truncated or too long.
    """
    if not _has(response.head.headers, DEFLATED):
        return response.body
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(response.body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError('truncated or too long')
    return body


def _has(headers: Headers, wanted: tuple[bytes, bytes]) -> bool:
    return any(
        name.lower() == wanted[0].lower() and text.strip() == wanted[1]
        for name, text in headers
    )


@lru_cache(maxsize=1)
def _deflate(body: bytes) -> bytes:
    return zlib.compress(body, LEVEL)
