"""
A stand-in of the platform's store: keyed topics, logs and groups.
"""

import asyncio
import base64
import json
import time
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

import http1

PARTITIONS = 8
POLL_S = 0.005


class Topic:
    """
    The records of partition 0 of a topic.
    """

    def __init__(self):
        self.records = []
        self.newest = {}


class Group:
    """
    The members of a group, in the order in which they joined.
    """

    def __init__(self):
        self.expires_at = {}
        self.generation = 0
        self.epoch = 0

    def expire(self):
        now = time.monotonic()
        gone = [each for each, at in self.expires_at.items() if at < now]
        for member in gone:
            self.expires_at.pop(member)
            self.generation += 1

    def rows(self, topic):
        members = list(self.expires_at)
        return [
            [topic, part, members[part % len(members)], 0]
            for part in range(PARTITIONS)
            if members
        ]


class Store:
    """
    The store. What is acknowledged stays until the process ends.
    """

    def __init__(self):
        self.topics = defaultdict(Topic)
        self.groups = defaultdict(Group)
        self.server = None

    async def start(self, address):
        self.server = await http1.serve(address, self._handle)

    def put(self, topic_name, key, fields):
        """
        Write a keyed record; none as its fields removes the key.
        """
        value = b'' if fields is None else json.dumps(fields).encode()
        topic = self.topics[topic_name]
        topic.newest[key] = (value, len(topic.records))
        if fields is None:
            topic.newest.pop(key)
        topic.records.append(bytes([len(key)]) + key.encode() + value)

    async def _handle(self, request, reader, writer):
        method, target, _ = request.start
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        name = url.path.removeprefix('/log-')
        call = getattr(self, f'_do_{name}', None)
        if call is None:
            writer.write(http1.answer(404))
            return True
        status, body = await call(query, request.body)
        writer.write(http1.answer(status, (), body))
        return True

    async def _do_read(self, query, body):
        topic = self.topics[query['topic']]
        source = int(query['source'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while len(topic.records) <= source and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
        framed = bytearray(len(topic.records).to_bytes(8, 'big') + bytes(8))
        limit = int(query.get('max_kb', 1024)) * 1024
        for raw in topic.records[source:]:
            if len(framed) + len(raw) > limit:
                break
            framed += len(raw).to_bytes(4, 'big') + raw
        return 200, bytes(framed)

    async def _do_newest(self, query, body):
        topic = self.topics[query['topic']]
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in sorted(topic.newest.items())
            if key > query.get('after', '')
        ]
        page = {
            'items': items[:500],
            'has_more': len(items) > 500,
            'end_offset': len(topic.records),
        }
        return 200, json.dumps(page).encode()

    async def _do_append(self, query, body):
        group = self.groups[query.get('producer', '')]
        epoch = int(query.get('epoch', 0))
        if epoch < group.epoch:
            return 409, b'{"reason":"fenced"}'
        group.epoch = epoch
        return 200, b'{"offset":0,"end_offset":0}'

    async def _do_join(self, query, body):
        fields = json.loads(body)
        group = self.groups[fields['group']]
        group.expire()
        member = fields['member']
        if member not in group.expires_at:
            group.generation += 1
        group.expires_at[member] = time.monotonic() + fields['ttl_ms'] / 1000
        owned = [
            [topic, part, offset]
            for topic, part, owner, offset in group.rows(fields['topics'][0])
            if owner == member
        ]
        joined = {'generation': group.generation, 'parts': owned}
        return 200, json.dumps(joined).encode()

    async def _do_leave(self, query, body):
        fields = json.loads(body)
        group = self.groups[fields['group']]
        if group.expires_at.pop(fields['member'], None) is not None:
            group.generation += 1
        return 200, b'{}'

    async def _do_owners(self, query, body):
        group = self.groups[query['group']]
        group.expire()
        return 200, json.dumps({'rows': group.rows('members')}).encode()
