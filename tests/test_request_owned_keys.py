"""
Keys without a prefix on two running routers: each request runs at most once,
and refusals say correctly whether it ran.
"""

import json
import threading
from dataclasses import replace
from unittest import TestCase

from mallowcrank.clock import SystemClock
from mallowcrank.requests.key_ownership import (
    MAX_VIEW_AGE_S,
    QUARANTINE_S,
    rendezvous,
)
from mallowcrank.view import Peer
from tests.utils.fake_service import FakeReplica
from tests.utils.local_router import (
    WORKSPACE,
    LocalRouter,
    make_view,
    service,
    wait_until,
)


class AdvancingClock(SystemClock):
    """
    System clock that a test can advance.
    """

    offset_s = 0

    def steady(self):
        return super().steady() + self.offset_s


class TestOwnedKeys(TestCase):
    def setUp(self):
        self.clock = AdvancingClock()
        self.replica = FakeReplica('s1')
        self.addCleanup(self.replica.stop)
        self.view = make_view([self.replica.target], [service(timeout_s=20)])
        self.routers = {name: self.start(name) for name in ('r1', 'r2')}
        peers = {
            name: Peer(
                name, router.address, 'a', router.router.parts.me.incarnation
            )
            for name, router in self.routers.items()
        }
        self.view = replace(self.view, version=2, peers=peers)
        for router in self.routers.values():
            router.agent.send_view(self.view)
            router.wait_view(self.view)

    def start(self, name):
        router = LocalRouter(self.view, name, clock=self.clock)
        self.addCleanup(router.stop)
        return router

    def advance_past_quarantine(self):
        self.clock.offset_s += QUARANTINE_S + 1
        for router in self.routers.values():
            wait_until(lambda: self.is_settled(router.router.parts))

    def is_settled(self, parts):
        """
        Tell whether a router has a recent message from its agent, and has
        handled the jump of the clock.
        """
        delay_s = self.clock.steady() - parts.pause_detector.earliest_arrival()
        return delay_s < 1 and parts.view_store.age_s < MAX_VIEW_AGE_S - 1

    def owned_by(self, name):
        """
        Return a key that a router owns.
        """
        ids = {each: self.id_of(each) for each in self.routers}
        return next(
            key
            for key in map(str, range(1000))
            if rendezvous(f'{WORKSPACE}\0{key}', frozenset(ids.values()))
            == ids[name]
        )

    def id_of(self, name):
        return self.routers[name].router.parts.me

    def call(self, name, key):
        return self.routers[name].send(
            'POST', '/v1/services/stock/bolt', b'bolt', idempotency_key=key
        )

    def error_of(self, response):
        error = json.loads(response.whole)['error']
        return error['code'], error['ran']

    def test_same_key_at_both_routers_at_once_runs_once(self):
        self.advance_past_quarantine()
        for key in map(str, range(12)):
            answers = self.call_all(key)
            self.assertEqual({each.status for each in answers}, {200})
            self.assertEqual(len({each.whole for each in answers}), 1)
        self.assertEqual(len(self.replica.ran), 12)

    def call_all(self, key):
        answers = []
        threads = [
            threading.Thread(
                target=lambda name=name: answers.append(self.call(name, key))
            )
            for name in ('r1', 'r2', 'r1', 'r2')
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def test_retry_of_a_forwarded_call_gets_the_first_answer(self):
        self.advance_past_quarantine()
        key = self.owned_by('r1')
        first, again = self.call('r2', key), self.call('r2', key)
        self.assertEqual(first.headers['x-mallowcrank-router'], 'r1')
        self.assertEqual(again.headers['x-mallowcrank-replayed'], 'yes')
        self.assertEqual(first.whole, again.whole)
        self.assertEqual(len(self.replica.ran), 1)

    def test_forwarded_call_is_not_run_again_if_its_target_did_not_answer(self):
        self.advance_past_quarantine()
        self.replica.unanswered = 1
        key = self.owned_by('r1')
        for name in ('r2', 'r1', 'r2'):
            answer = self.routers[name].send(
                'POST',
                '/v1/services/stock/bolt',
                b'bolt',
                idempotency_key=key,
                x_mallowcrank_deadline_ms='1000',
            )
            self.assertEqual(self.error_of(answer)[1], 'unknown')
        self.assertEqual(len(self.replica.ran), 1)

    def test_key_is_not_run_again_if_its_owner_is_gone(self):
        self.advance_past_quarantine()
        key = self.owned_by('r1')
        self.assertEqual(self.call('r2', key).status, 200)
        self.routers['r1'].router.request_stop()
        self.routers['r1'].router.request_stop()
        self.routers['r1'].router.run()
        gone = 'keeper_gone', 'unknown'
        self.assertEqual(self.error_of(self.call('r2', key)), gone)
        peers = {'r2': self.view.peers['r2']}
        view = replace(self.view, version=3, peers=peers)
        self.routers['r2'].agent.send_view(view)
        self.routers['r2'].wait_view(view)
        self.assertEqual(self.error_of(self.call('r2', key)), gone)
        self.assertEqual(len(self.replica.ran), 1)

    def test_router_that_has_just_started_refuses_keys_without_prefix(self):
        for name in self.routers:
            refused = self.call(name, self.owned_by(name))
            self.assertEqual(self.error_of(refused), ('keeper_gone', 'unknown'))
        self.assertEqual(self.replica.ran, [])
