"""
HTTP client of the platform's log service.
"""

import json
from collections.abc import Mapping
from typing import Any

from mallowcrank.calls import HttpCaller, Reply
from mallowcrank.ports import Failure, LogPage, LogRecord
from mallowcrank.refusals import Ran

APPEND_TIMEOUT_S = 5
MAX_PAGE_BYTES = 64 * 1024 * 1024  # a record may hold a whole snapshot
READ_MARGIN_S = 5  # added to the time for which the service may wait
OK = 200
# Statuses that guarantee that the record was not written.
NOT_WRITTEN_STATUSES = frozenset((400, 413, 429, 503))


class HttpLog:
    """
    Appends to and reads from the log.

    :param address: `IP:PORT` of the service.
    """

    def __init__(self, address: str) -> None:
        self._writer = HttpCaller(address)
        self._reader = HttpCaller(address, max_answer_bytes=MAX_PAGE_BYTES)

    def read(self, offset: int, limit: int, wait_s: float) -> LogPage | Failure:
        """
        Return records from an offset on.

        :param wait_s: longest wait of the service for the first record.
        """
        reply = self._reader.call(
            'GET',
            f'/records?from={offset}&limit={limit}&wait={wait_s:g}',
            timeout_s=wait_s + READ_MARGIN_S,
        )
        answer = _decode_reply(reply)
        if isinstance(answer, Failure):
            return answer
        try:
            return _decode_page(answer)
        except (KeyError, TypeError, ValueError) as error:
            return Failure(
                f'the answer of the log is malformed: {error!r}', Ran.NO
            )

    def append(self, body: Mapping[str, Any]) -> int | Failure:
        """
        Append a record and return its offset.

        :returns: `Failure` with whether the record was written.
        """
        encoded = json.dumps(body).encode()
        reply = self._writer.call(
            'POST', '/append', encoded, timeout_s=APPEND_TIMEOUT_S
        )
        answer = _decode_reply(reply)
        if isinstance(answer, Failure):
            return answer
        try:
            return int(answer['offset'])
        except (KeyError, TypeError, ValueError) as error:
            return Failure(
                f'the answer of the log is malformed: {error!r}', Ran.UNKNOWN
            )


def _decode_reply(reply: Reply | Failure) -> Any:
    if isinstance(reply, Failure):
        return reply
    if reply.status != OK:
        ran = Ran.NO if reply.status in NOT_WRITTEN_STATUSES else Ran.UNKNOWN
        return Failure(f'the log answered {reply.status}', ran)
    try:
        return json.loads(reply.body)
    except ValueError:
        return Failure('the answer of the log is not JSON', Ran.UNKNOWN)


def _decode_page(answer: Mapping[str, Any]) -> LogPage:
    records = tuple(
        LogRecord(int(each['offset']), float(each['time']), each['body'])
        for each in answer['records']
    )
    return LogPage(int(answer['first']), int(answer['next']), records)
