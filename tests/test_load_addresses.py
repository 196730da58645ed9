"""
Guards against callers that keep using a router, or the keys that name it, after
it has failed.
"""

import json
from dataclasses import replace
from unittest import TestCase
from unittest.mock import patch

from mallowcrank.calls import Reply
from mallowcrank.load.addresses import AddressBook
from mallowcrank.load.attempts import AttemptResult
from mallowcrank.load.callers import Caller
from mallowcrank.load.records import CallKind, Plan, Try
from mallowcrank.router.addresses import AddressQuery, order_routers
from mallowcrank.view import Peer

PEERS = tuple(
    Peer(name, f'{name}:1', f'zone-{name}', incarnation='1') for name in 'abc'
)
ANSWERED = AttemptResult(Try('r', 'b:1', 0, 1, 200, 'yes'), is_complete=True)


class FakeRouters:
    """
    Answers `/v1/addresses` like routers that still consider all routers live.
    """

    def __call__(self, address, connections):
        return self

    def call(self, method, path, body, headers, timeout_s):
        question = AddressQuery(
            headers['X-Mallowcrank-Availability-Zone'],
            avoided=frozenset(headers['X-Mallowcrank-Avoid'].split(',')),
        )
        ordered = order_routers(PEERS, question)
        answer = {
            'addresses': [peer.address for peer in ordered],
            'keep_s': 5,
            'key_prefix': f'mc1.{ordered[0].name}.1.9.',
        }
        return Reply(200, json.dumps(answer).encode())


class TestAddressBook(TestCase):
    def setUp(self):
        caller = patch('mallowcrank.load.addresses.HttpCaller', FakeRouters())
        caller.start()
        self.addCleanup(caller.stop)
        self.book = AddressBook(['a:1'], 'zone-a', 'topi/quotes')

    def mark_failed(self, *addresses):
        for each in addresses:
            self.book.current()
            self.book.mark_failed(each)
        return self.book.current()

    def test_router_of_the_own_zone_is_first(self):
        self.assertEqual(self.book.current().addresses[0], 'a:1')

    def test_failed_address_is_last_although_routers_list_it_as_live(self):
        self.assertEqual(
            self.mark_failed('a:1').addresses, ('b:1', 'c:1', 'a:1')
        )

    def test_new_keys_name_no_failed_router(self):
        self.assertEqual(self.mark_failed('a:1').key_prefix, 'mc1.b.1.9.')

    def test_third_address_is_first_after_two_failed(self):
        self.assertEqual(self.mark_failed('a:1', 'b:1').addresses[0], 'c:1')


class TestKeys(TestCase):
    def setUp(self):
        routers = patch('mallowcrank.load.addresses.HttpCaller', FakeRouters())
        routers.start()
        self.addCleanup(routers.stop)

    def call_keys(self, *results):
        book = AddressBook(['a:1'], 'zone-a', 'topi/counter')
        plan = Plan(1, CallKind.SERVICE, 'x/y', 'stock', '{}', repeatable=False)
        with patch('mallowcrank.load.callers.attempt') as attempt:
            attempt.side_effect = results
            Caller(book, 'run').call(plan)
        return [call.args[0].key for call in attempt.call_args_list]

    def test_unsent_key_is_replaced_for_the_next_router(self):
        unsent = AttemptResult(
            Try('', 'a:1', 0, 1), is_broken=True, is_unsent=True
        )
        keys = self.call_keys(unsent, ANSWERED)
        self.assertEqual(keys, ['mc1.a.1.9.run-1', 'mc1.b.1.9.run-1'])

    def test_key_that_may_have_arrived_is_reused(self):
        broken = AttemptResult(Try('', 'a:1', 0, 1), is_broken=True)
        unsent = replace(broken, is_unsent=True)
        keys = self.call_keys(broken, unsent, ANSWERED)
        self.assertEqual((len(keys), set(keys)), (3, {'mc1.a.1.9.run-1'}))
