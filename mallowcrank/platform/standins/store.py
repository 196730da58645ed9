"""
A stand-in of the platform's store, with topics, keyed records and groups.
"""

import asyncio
import base64
from collections import defaultdict
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs

import orjson

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.core import JSON_HEADER
from mallowcrank.platform.standins.server import StandinServer

OFFSET_BYTES = 8
LENGTH_BYTES = 4
PARTITIONS = 8
FOREVER_S = 3600
POLL_INTERVAL_S = 0.01  # for new records, while a read waits


@dataclass
class StoreFaults:
    """
    Injected faults.

    :param mode: '' for none, 'busy' (503), 'many' (429), 'silent' or 'reset'.
    :param lost_answers: number of calls that are carried out, but not
        answered.
    """

    mode: str = ''
    lost_answers: int = 0


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    first: int = 0

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass
class _Group:
    members: list[str] = field(default_factory=list)
    generation: int = 0


class StandinStore:
    """
    The store. Its state is in memory only.
    """

    def __init__(self) -> None:
        self.server = StandinServer(self._serve)
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._topics: dict[str, _Topic] = defaultdict(_Topic)
        self._latest_by_key: dict[str, dict[str, bytes]] = defaultdict(dict)
        self._groups: dict[str, _Group] = defaultdict(_Group)
        self._epochs: dict[str, int] = {}

    def put(self, topic: str, key: str, content: bytes | None) -> None:
        """
        Write a keyed record, as the operator or a replica does.

        :param content: none to delete the key.
        """
        raw = bytes([len(key)]) + key.encode() + (content or b'')
        self._topics[topic].records.append(raw)
        if content is None:
            self._latest_by_key[topic].pop(key, None)
        else:
            self._latest_by_key[topic][key] = content

    def drop_history(self, topic: str) -> None:
        """
        Drop the records of a topic; the newest of each key remain readable.
        """
        dropped = self._topics[topic]
        dropped.first = dropped.end
        dropped.records.clear()

    def reassign_partitions(self) -> None:
        """
        Reassign the partitions of each group and raise its generation.
        """
        for group in self._groups.values():
            group.members.reverse()
            group.generation += 1

    async def _serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        self.calls.append(request.path)
        if self.faults.mode:
            await self._refuse(answer)
            return
        query = {
            name: values[0] for name, values in parse_qs(request.query).items()
        }
        name = request.path.removeprefix('/log-').replace('-', '_')
        handler = getattr(self, f'_do_{name}')
        status, body = await handler(query, request.body)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await asyncio.sleep(FOREVER_S)
        answer.send(status, (JSON_HEADER,), body)

    async def _refuse(self, answer: ResponseWriter) -> None:
        if self.faults.mode == 'silent':
            await asyncio.sleep(FOREVER_S)
        elif self.faults.mode == 'reset':
            answer.abort()
        elif self.faults.mode == 'many':
            answer.send(HTTPStatus.TOO_MANY_REQUESTS, (), b'')
        else:
            answer.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def _do_read(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self._topics[query['topic']]
        offset = int(query['source'])
        if offset < topic.first:
            oldest = orjson.dumps({'first_offset': topic.first})
            return HTTPStatus.GONE, oldest
        remaining_s = int(query.get('wait_ms', 0)) / 1000
        while topic.end <= offset and remaining_s > 0:
            await asyncio.sleep(POLL_INTERVAL_S)
            remaining_s -= POLL_INTERVAL_S
        end_bytes = topic.end.to_bytes(OFFSET_BYTES, 'big')
        first_bytes = topic.first.to_bytes(OFFSET_BYTES, 'big')
        framed = [
            len(raw).to_bytes(LENGTH_BYTES, 'big') + raw
            for raw in topic.records[offset - topic.first :]
        ]
        return HTTPStatus.OK, end_bytes + first_bytes + b''.join(framed)

    async def _do_newest(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query['topic']
        items = [
            {'key': key, 'value': base64.b64encode(raw), 'offset': 0}
            for key, raw in sorted(self._latest_by_key[topic].items())
            if key > query.get('after', '')
        ]
        page = {
            'items': items,
            'has_more': False,
            'end_offset': self._topics[topic].end,
        }
        return HTTPStatus.OK, orjson.dumps(page, default=bytes.decode)

    async def _do_join(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        fields = orjson.loads(body)
        group = self._groups[fields['group']]
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

    async def _do_leave(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        fields = orjson.loads(body)
        group = self._groups[fields['group']]
        if fields['member'] in group.members:
            group.members.remove(fields['member'])
            group.generation += 1
        return HTTPStatus.OK, b'{}'

    async def _do_owners(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        rows = self._ownership_rows(self._groups[query['group']], 'members')
        return HTTPStatus.OK, orjson.dumps({'parts': rows})

    async def _do_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        epoch = int(query.get('epoch', 0))
        producer = query.get('producer', '')
        if epoch < self._epochs.get(producer, 0):
            return HTTPStatus.CONFLICT, b'{"reason":"fenced"}'
        self._epochs[producer] = epoch
        return HTTPStatus.OK, b'{"offset":0,"end_offset":0}'

    def _ownership_rows(self, group: _Group, topic: str) -> list[list[object]]:
        if not group.members:
            return []
        return [
            [topic, part, group.members[part % len(group.members)], -1]
            for part in range(PARTITIONS)
        ]
