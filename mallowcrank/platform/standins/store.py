"""
A stand-in of the platform's store, with topics, keyed records and groups.
"""

import asyncio
import base64
from collections import defaultdict
from copy import deepcopy
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.ports import Headers
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.server import StandinServer
from mallowcrank.platform.standins.store_entrance import (
    StoreEntrance,
    StoreFaults,
)

OFFSET_BYTES = 8
LENGTH_BYTES = 4
PARTITIONS = 8
MAX_READ_KB = 1024  # of one read, unless the call names another limit
BYTES_PER_KB = 1024
POLL_INTERVAL_S = 0.01  # for new records, while a read waits


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    offsets_by_key: dict[str, int] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass
class _Group:
    members: list[str] = field(default_factory=list)
    generation: int = 0


@dataclass
class StoreState:
    """
    All that the store keeps.
    """

    topics: dict[str, _Topic] = field(
        default_factory=lambda: defaultdict(_Topic)
    )
    latest_by_key: dict[str, dict[str, bytes]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    groups: dict[str, _Group] = field(
        default_factory=lambda: defaultdict(_Group)
    )
    epochs: dict[str, int] = field(default_factory=dict)


class _StoreCalls:
    """
    Carries out the calls of gateways.
    """

    def __init__(self, state: StoreState) -> None:
        self._state = state

    async def do_read(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self._state.topics[query['topic']]
        offset = int(query['source'])
        if not topic.first <= offset <= topic.end:
            oldest = orjson.dumps({'first_offset': topic.first})
            return HTTPStatus.GONE, oldest
        wait_s = int(query.get('wait_ms', 0)) / 1000
        deadline_at = monotonic_s() + wait_s
        while topic.end <= offset and monotonic_s() < deadline_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        end_bytes = topic.end.to_bytes(OFFSET_BYTES, 'big')
        first_bytes = topic.first.to_bytes(OFFSET_BYTES, 'big')
        framed = _first_records(
            topic.records[offset - topic.first :],
            int(query.get('max_kb', MAX_READ_KB)) * BYTES_PER_KB,
        )
        return HTTPStatus.OK, end_bytes + first_bytes + framed

    async def do_newest(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(raw),
                'offset': self._state.topics[topic].offsets_by_key[key],
            }
            for key, raw in sorted(self._state.latest_by_key[topic].items())
            if key > query.get('after', '')
        ]
        page = {
            'items': items,
            'has_more': False,
            'end_offset': self._state.topics[topic].end,
        }
        return HTTPStatus.OK, orjson.dumps(page, default=bytes.decode)

    async def do_join(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        fields = orjson.loads(body)
        group = self._state.groups[fields['group']]
        if fields['member'] not in group.members:
            group.members.append(fields['member'])
            group.generation += 1
        owned = [
            [topic, part, -1]
            for topic, part, member, _ in self._ownership_rows(
                group, fields['topics'][0]
            )
            if member == fields['member']
        ]
        membership = {'generation': group.generation, 'parts': owned}
        return HTTPStatus.OK, orjson.dumps(membership)

    async def do_leave(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        fields = orjson.loads(body)
        group = self._state.groups[fields['group']]
        if fields['member'] in group.members:
            group.members.remove(fields['member'])
            group.generation += 1
        return HTTPStatus.OK, b'{}'

    async def do_owners(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        rows = self._ownership_rows(
            self._state.groups[query['group']], 'members'
        )
        return HTTPStatus.OK, orjson.dumps({'parts': rows})

    async def do_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        epoch = int(query.get('epoch', 0))
        producer = query.get('producer', '')
        if epoch < self._state.epochs.get(producer, 0):
            return HTTPStatus.CONFLICT, b'{"reason":"fenced"}'
        self._state.epochs[producer] = epoch
        return HTTPStatus.OK, b'{"offset":0,"end_offset":0}'

    def _ownership_rows(self, group: _Group, topic: str) -> list[list[object]]:
        if not group.members:
            return []
        return [
            [topic, part, group.members[part % len(group.members)], -1]
            for part in range(PARTITIONS)
        ]


class StandinStore:
    """
    The store. Its state is in memory only.

    The attribute `era_headers` replaces the headers that name the era.
    """

    def __init__(self) -> None:
        self._entrances = [self._make_entrance()]
        self.era = 1
        self.era_headers: Headers | None = None
        self.calls: list[str] = []
        self._state = StoreState()

    @property
    def server(self) -> StandinServer:
        """
        Return the server of the first entrance.
        """
        return self._entrances[0].server

    @property
    def faults(self) -> StoreFaults:
        """
        Return the faults of the first entrance.
        """
        return self._entrances[0].faults

    async def open_entrance(self) -> StoreEntrance:
        """
        Open another entrance, which may refuse calls by itself.
        """
        entrance = self._make_entrance()
        await entrance.server.start(Address(self.server.address.ip, 0))
        self._entrances.append(entrance)
        return entrance

    def stop(self) -> None:
        """
        Close all entrances.
        """
        for entrance in self._entrances:
            entrance.server.stop()

    def copy(self) -> StoreState:
        """
        Return a copy of all that the store keeps now.
        """
        return deepcopy(self._state)

    def restore(self, copy: StoreState) -> None:
        """
        Come back from an older copy, in a new era; all channels are reset.
        """
        self._state = deepcopy(copy)
        self.era += 1
        for entrance in self._entrances:
            entrance.server.abort_channels()

    def put(self, topic: str, key: str, content: bytes | None) -> None:
        """
        Write a keyed record, as the operator or a replica does.

        :param content: none to delete the key.
        """
        raw = bytes([len(key)]) + key.encode() + (content or b'')
        log = self._state.topics[topic]
        log.offsets_by_key[key] = log.end
        log.records.append(raw)
        if content is None:
            self._state.latest_by_key[topic].pop(key, None)
        else:
            self._state.latest_by_key[topic][key] = content

    def drop_history(self, topic: str) -> None:
        """
        Drop the records of a topic; the newest of each key remain readable.
        """
        dropped = self._state.topics[topic]
        dropped.first = dropped.end
        dropped.records.clear()

    def reassign_partitions(self) -> None:
        """
        Reassign the partitions of each group and raise its generation.
        """
        for group in self._state.groups.values():
            group.members.reverse()
            group.generation += 1

    async def _answer(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        self.calls.append(f'/log-{name}')
        calls = _StoreCalls(self._state)
        handler = getattr(calls, f'do_{name}')
        return await handler(query, body)

    def _era_headers(self) -> Headers:
        if self.era_headers is not None:
            return self.era_headers
        return ((b'Store-Era', b'%d' % self.era),)

    def _make_entrance(self) -> StoreEntrance:
        return StoreEntrance(self._answer, self._era_headers)


def _first_records(records: list[bytes], max_bytes: int) -> bytes:
    """
    Return the first records in the format of a read: at least one, and no
    more than fit.
    """
    framed = b''
    for raw in records:
        if framed and len(framed) + len(raw) > max_bytes:
            break
        framed += len(raw).to_bytes(LENGTH_BYTES, 'big') + raw
    return framed
