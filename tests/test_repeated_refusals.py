"""
Refusals that a faulty replica writes once more on a kept connection, and
streams that begin at one replica and meet an error at the next one.
"""

import asyncio
from types import MappingProxyType
from unittest import IsolatedAsyncioTestCase

from mallowcrank.platform.standins.bodies import route_row, stream_row
from mallowcrank.platform.standins.in_process import InProcessPlatform
from tests.utils.raw_replica import RawReplica, answer, refusal

TOKENS = MappingProxyType(
    {'Mallowcrank_Token_Count': '700,200', 'Mallowcrank_Model': 'm'}
)
RUN_S = 0.3  # of a request, in which the repeated refusal arrives
STREAM_HEAD = (
    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    'Transfer-Encoding: chunked\r\n'
    'Mallowcrank-Request-Id: {0}\r\n'
    'Mallowcrank-Response-Seal: seal.{0}\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'
FOREIGN = b'a replica failed badly'


def event(number):
    """
    Return an event of a stream, as a chunk.
    """
    return chunk(b'id: %d\ndata: event %d\n\n' % (number, number))


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


def engine(identity, script, first, end):
    """
    Return an engine that holds some layers.
    """
    layers = {'source': first, 'to': end, 'version': 1}
    return RawReplica(
        identity, 'model', script, kind='huge', zone='a', layers=layers
    )


def close(count, fields):
    return [None]


def stream_head(fields):
    return STREAM_HEAD.format(fields['mallowcrank-request-id']).encode()


class RawReplicaTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)

    async def start(self, *replicas, **desired):
        await self.world.start_store(**desired)
        for replica in replicas:
            await replica.start(self.world)
            self.addCleanup(replica.stop)
        self.gateway = await self.world.start_gateway()
        fleet = self.gateway.core.fleet
        await self.world.wait_for(lambda: len(fleet) == len(replicas))

    def draft(self):
        return self.world.fetch(self.gateway, '/draft/x', 'POST', b'', **TOKENS)


class TestRepeatedRefusals(RawReplicaTest):
    async def test_refusal_of_an_earlier_request_is_not_taken_for_another(
        self,
    ):
        for method in ('GET', 'HEAD'):
            for named in (True, False):
                for form, write in REFUSALS.items():
                    with self.subTest(method=method, named=named, form=form):
                        await self.check_earlier_refusal(method, named, write)

    async def check_earlier_refusal(self, method, named, write):
        """
        Check that a request runs, and is answered, though the refusal of an
        earlier one comes in its place.

        :param named: whether the refusal names the earlier request.
        :param write: returns the refusal of a request with some headers.
        """
        refused = []
        runs = []

        def script(count, fields):
            if not refused:
                refused.append(write(fields if named else {}))
                head, end, _ = refused[0].partition(b'\r\n\r\n')
                return [head + end if method == 'HEAD' else refused[0]]
            runs.append(fields['mallowcrank-request-id'])
            repeated = [refused[0], RUN_S] if count > 1 else []
            return [*repeated, answer(fields, body=b'done')]

        await self.asyncSetUp()
        await self.start(RawReplica('raw', 'stock', script))
        first = await self.world.fetch(self.gateway, '/lookup/x', method)
        self.assertEqual(first.status, 503)
        second = await self.world.fetch(self.gateway, '/lookup/x')
        self.assertEqual(len(runs), 1)
        self.assertEqual((second.status, second.body), (200, b'done'))

    async def test_refusal_of_the_first_try_is_not_taken_for_the_second(self):
        """
        A stream that may run once is refused for an engine farther down its
        path, and goes to the same first engine again.
        """
        runs = []

        def script(count, fields):
            at_fault = fields['mallowcrank-hop-count'].split(',')[1]
            refused = refusal(fields, at_fault.partition('=')[0])
            if not asked:
                asked.append(fields)
                return [refused]
            runs.append(fields['mallowcrank-request-id'])
            repeated = [refused] if count > 1 else []
            return [
                *repeated,
                RUN_S,
                stream_head(fields),
                event(1),
                LAST_CHUNK,
            ]

        asked = []
        rows = [stream_row('draft', stream_resume=False), route_row('lookup')]
        await self.start(
            engine('first', script, 0, 40),
            engine('second', close, 40, 80),
            engine('third', close, 40, 80),
            routes=rows,
        )
        answered = await self.draft()
        self.assertEqual((answered.status, len(runs)), (200, 1))


class TestBegunStreams(RawReplicaTest):
    def broken_off(self, count, fields):
        """
        Send two events, half of the next one, and close.
        """
        return [
            stream_head(fields),
            event(1),
            event(2),
            b'8\r\nid: 3\nda\r\n',
            RUN_S / 10,
            None,
        ]

    async def check(self, error):
        """
        Check that a begun stream contains nothing of the errors that follow,
        and doesn't end as if it were complete.
        """

        def script(count, fields):
            if 'last-event-id' in fields:
                return error(fields)
            return self.broken_off(count, fields)

        await self.asyncSetUp()
        engines = [engine(f'e-{number}', script, 0, 80) for number in range(3)]
        timeout_ms = 1500
        rows = [stream_row('draft', timeout_ms=timeout_ms, max_attempts=3)]
        await self.start(*engines, routes=rows)
        answered = await self.draft()
        self.assertEqual(answered.events, (1, 2))
        self.assertEqual(answered.status, 200)
        self.assertNotIn(FOREIGN, answered.body)
        self.assertNotIn(b'HTTP/1.1', answered.body)
        self.assertFalse(answered.is_complete)

    async def test_error_of_the_next_replica_is_not_part_of_the_stream(self):
        for name, error in ERRORS.items():
            with self.subTest(error=name):
                async with asyncio.timeout(10):
                    await self.check(error)


def refusal_with_a_body(fields):
    return (
        refusal(fields).replace(b'Content-Length: 0', b'Content-Length: 4')
        + b'full'
    )


def chunked_refusal(fields):
    head = refusal(fields).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    return head + chunk(b'full') + LAST_CHUNK


REFUSALS = MappingProxyType(
    {
        'without a body': refusal,
        'with a body': refusal_with_a_body,
        'chunked': chunked_refusal,
    }
)


def chunked_error(fields):
    head = answer(fields, '500 Internal Server Error').replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    return [head, chunk(FOREIGN), LAST_CHUNK]


def unframed_error(fields):
    head = answer(fields, '500 Internal Server Error').replace(
        b'Content-Length: 0\r\n', b''
    )
    return [head, FOREIGN, None]


def cut_error(fields):
    whole = answer(fields, '500 Internal Server Error', FOREIGN)
    return [whole[:-4], None]


def bare_error(fields):
    return [FOREIGN, None]


def error_in_success(fields):
    return [answer(fields, body=FOREIGN, seal=False)]


def error_after_half_an_event(fields):
    return [
        stream_head(fields),
        chunk(b'id: 3\nda'),
        answer(fields, '500 Internal Server Error', FOREIGN),
    ]


ERRORS = MappingProxyType(
    {
        'sealed': lambda fields: [
            answer(fields, '500 Internal Server Error', FOREIGN)
        ],
        'unsealed': lambda fields: [
            answer(fields, '500 Internal Server Error', FOREIGN, seal=False)
        ],
        'without a body': lambda fields: [answer(fields, '502 Bad Gateway')],
        'chunked': chunked_error,
        'up to the end of the connection': unframed_error,
        'cut': cut_error,
        'without a head': bare_error,
        'as a success': error_in_success,
        'after half an event': error_after_half_an_event,
    }
)
