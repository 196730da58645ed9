"""
Encodes calls to the platform's store and decodes their answers.
"""

import base64
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import orjson

from mallowcrank.gateway.ports import (
    DecodeFailure,
    Headers,
    HttpCall,
    LogSlice,
    Membership,
    NewestPage,
    StoreRecord,
)
from mallowcrank.platform.fields import (
    MalformedError,
    as_object,
    decode_object,
    integer_field,
    list_field,
    text_field,
)
from mallowcrank.platform.orders import JSON_HEADERS

MEMBERS_TOPIC = 'mallowcrank-members'
LENGTH_BYTES = 4
OFFSETS_BYTES = 16
END_BYTES = 8
ERA = b'store-era'
MAX_ERA_DIGITS = 18


class PlatformStore:
    """
    The store's calls and answers.
    """

    desired_topic = 'keyed.op'
    desired_key = 'config'
    targets_topic = 'keyed.servers'

    def newest(self, topic: str, after: str) -> HttpCall:
        """
        Return the call for the newest record of each key.

        :param after: the last key of the page before; empty at first.
        """
        query = f'topic={topic}&part=0'
        if after:
            query = f'{query}&after={quote(after)}'
        return HttpCall('GET', f'/log-newest?{query}')

    def read(self, topic: str, offset: int, wait_ms: int) -> HttpCall:
        """
        Return the call for the records from an offset on.

        :param wait_ms: longest wait of the store for the first record.
        """
        query = f'topic={topic}&part=0&source={offset}&wait_ms={wait_ms}'
        return HttpCall('GET', f'/log-read?{query}')

    def join(
        self, group: str, member: str, lease_ms: int, generation: int
    ) -> HttpCall:
        """
        Return the call to join a group or to renew the membership.

        :param lease_ms: after which the membership lapses without renewal.
        :param generation: of the group, as the member knows it.
        """
        return _post(
            '/log-join',
            {
                'group': group,
                'member': member,
                'topics': [MEMBERS_TOPIC],
                'ttl_ms': lease_ms,
                'generation': generation,
            },
        )

    def leave(self, group: str, member: str) -> HttpCall:
        """
        Return the call to leave a group.
        """
        return _post('/log-leave', {'group': group, 'member': member})

    def owners(self, group: str) -> HttpCall:
        """
        Return the call for the members of a group.
        """
        return HttpCall('GET', f'/log-owners?group={group}')

    def fence(self, group: str, epoch: int) -> HttpCall:
        """
        Return the call that fences off all earlier leaders of a group: the
        store rejects their writes.

        :param epoch: of the caller; the store rejects lower ones from then on.
        """
        query = f'topic={MEMBERS_TOPIC}&part=0&producer={group}'
        return HttpCall('POST', f'/log-append?{query}&epoch={epoch}&sequence=0')

    def decode_era(self, headers: Headers) -> int | DecodeFailure:
        """
        Decode the number of times that the store came back from an older copy.
        """
        values = {value.strip() for name, value in headers if _is_era(name)}
        if not values:
            return DecodeFailure('Store-Era is missing')
        if len(values) > 1:
            return DecodeFailure('Store-Era is given twice')
        text = values.pop()
        if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            return DecodeFailure('Store-Era is not a number')
        return int(text)

    def decode_newest(self, body: bytes) -> NewestPage | DecodeFailure:
        """
        Decode the answer to `newest`.
        """
        try:
            return _decode_newest(decode_object(body))
        except ValueError as error:
            return DecodeFailure(str(error))

    def decode_slice(
        self, body: bytes, offset: int
    ) -> LogSlice | DecodeFailure:
        """
        Decode the answer to `read`.
        """
        try:
            return _decode_slice(body, offset)
        except ValueError as error:
            return DecodeFailure(str(error))

    def decode_membership(self, body: bytes) -> Membership | DecodeFailure:
        """
        Decode the answer to `join`.
        """
        try:
            body_fields = decode_object(body)
            owned = [
                _decode_partition(row)
                for row in list_field(body_fields, 'parts')
            ]
            return Membership(
                integer_field(body_fields, 'generation'), tuple(owned)
            )
        except ValueError as error:
            return DecodeFailure(str(error))

    def decode_owners(self, body: bytes) -> tuple[str, ...] | DecodeFailure:
        """
        Decode the answer to `owners`: the members.
        """
        try:
            rows = _find_owner_rows(orjson.loads(body))
        except ValueError as error:
            return DecodeFailure(str(error))
        return tuple({row[2]: None for row in rows if _names_member(row)})


def _is_era(name: bytes) -> bool:
    return name.lower() == ERA


def _post(path: str, body: Mapping[str, Any]) -> HttpCall:
    return HttpCall('POST', path, orjson.dumps(body), JSON_HEADERS)


def _decode_newest(body_fields: Mapping[str, Any]) -> NewestPage:
    items = [as_object(row, 'item') for row in list_field(body_fields, 'items')]
    return NewestPage(
        records=tuple(_decode_item(row) for row in items),
        has_more=bool(body_fields.get('has_more')),
        end=integer_field(body_fields, 'end_offset'),
    )


def _decode_item(row: Mapping[str, Any]) -> StoreRecord:
    raw = base64.b64decode(str(row.get('value', '')))
    return StoreRecord(
        text_field(row, 'key'), raw, integer_field(row, 'offset')
    )


def _decode_slice(body: bytes, offset: int) -> LogSlice:
    if len(body) < OFFSETS_BYTES:
        raise MalformedError('the offsets are truncated')
    end = int.from_bytes(body[:END_BYTES], 'big')
    records = []
    position = OFFSETS_BYTES
    while position < len(body):
        record_start = position + LENGTH_BYTES
        position = record_start + int.from_bytes(
            body[position:record_start], 'big'
        )
        if record_start > len(body) or position > len(body):
            raise MalformedError('a record is truncated')
        records.append(
            _decode_record(body[record_start:position], offset + len(records))
        )
    return LogSlice(tuple(records), end)


def _decode_record(raw: bytes, offset: int) -> StoreRecord:
    end = 1 + int.from_bytes(raw[:1], 'big')
    key = raw[1:end].decode(errors='replace')
    return StoreRecord(key, raw[end:] or None, offset)


def _decode_partition(row: object) -> tuple[str, int]:
    if not isinstance(row, list) or len(row) < 2:
        raise MalformedError('a partition of a membership is not a list')
    topic, part = row[:2]
    if not isinstance(topic, str) or not isinstance(part, int):
        raise MalformedError('a partition of a membership has no number')
    return topic, part


def _find_owner_rows(decoded: object) -> list[Any]:
    if isinstance(decoded, dict):
        # The rows are the only list in the answer.
        lists = [each for each in decoded.values() if isinstance(each, list)]
        decoded = lists[0] if lists else []
    if isinstance(decoded, list):
        return decoded
    raise MalformedError('the owners are not a list')


def _names_member(row: object) -> bool:
    return isinstance(row, list) and len(row) > 2 and isinstance(row[2], str)
