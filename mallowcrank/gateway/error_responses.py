"""
Error responses that a gateway itself generates.
"""

import orjson

from mallowcrank.gateway.caller_channel import ResponseWriter
from mallowcrank.gateway.ports import Headers

JSON_HEADER = (b'Content-Type', b'application/json')


def send_error(
    response: ResponseWriter, status: int, reason: str, retry_after_s: float = 0
) -> None:
    """
    Respond with an error that the gateway itself generates.

    :param retry_after_s: seconds after which the caller should retry; 0 sends
        no `Retry-After`.
    """
    headers: Headers = (JSON_HEADER,)
    if retry_after_s:
        headers = (JSON_HEADER, (b'Retry-After', b'%.2f' % retry_after_s))
    response.send(status, headers, orjson.dumps({'error': reason}))
