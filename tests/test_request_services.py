"""
Calls to plain services: at most one run if marked so, retries otherwise.
"""

import json
from unittest import TestCase

from mallowcrank.requests.retry import MAX_ATTEMPTS
from mallowcrank.timeline import Filter
from mallowcrank.view import Peer
from tests.utils.fake_service import FakeReplica
from tests.utils.local_router import (
    LocalRouter,
    free_address,
    make_view,
    service,
    wait_until,
)

STOCK = service('stock')
ALERT = service('alert', repeatable=True, urgent=True)
PATH = '/v1/services/stock/bolt?colour=red&colour=blue'


class TestServices(TestCase):
    def start(self, *replicas, peers=(), **given):
        for replica in replicas:
            self.addCleanup(replica.stop)
        targets = [replica.target for replica in replicas]
        view = make_view(targets, (STOCK, ALERT), peers)
        router = LocalRouter(view, **given)
        self.addCleanup(router.stop)
        return router

    def key(self, router, own='a'):
        answer = json.loads(router.send('GET', '/v1/addresses').whole)
        return answer['key_prefix'] + own

    def outcome(self, response):
        ran = response.headers['x-mallowcrank-ran']
        if response.status == 200:
            return 200, ran
        error = json.loads(response.whole)['error']
        self.assertEqual(error['ran'], ran)
        return error['code'], ran

    def suspects(self, router):
        return {
            suspect['target']
            for report in router.agent.reports
            for suspect in report.get('suspects', ())
        }

    def attempted_targets(self, router):
        events = router.router.parts.timeline.events(Filter(part='service'))
        return [each.target for each in events if each.what == 'route chosen']

    def test_path_query_and_body_reach_the_replica(self):
        replica = FakeReplica('s1')
        router = self.start(replica)
        response = router.send(
            'POST', PATH, b'body', idempotency_key=self.key(router)
        )
        self.assertEqual(self.outcome(response), (200, 'yes'))
        self.assertEqual(response.headers['x-mallowcrank-route'], 's1')
        self.assertEqual(replica.ran[0].target, '/bolt?colour=red&colour=blue')
        self.assertEqual(replica.ran[0].body, b'body')

    def test_retry_of_a_key_gets_the_stored_answer(self):
        replica = FakeReplica('s1')
        router = self.start(replica)
        key = self.key(router)
        first = router.send('POST', PATH, b'body', idempotency_key=key)
        again = router.send('POST', PATH, b'body', idempotency_key=key)
        self.assertEqual(again.whole, first.whole)
        self.assertEqual(again.headers['x-mallowcrank-replayed'], 'yes')
        ran = first.headers['x-mallowcrank-request']
        self.assertEqual(again.headers['x-mallowcrank-request'], ran)
        other = router.send('POST', PATH, b'other', idempotency_key=key)
        self.assertEqual(self.outcome(other), ('key_reused', 'no'))
        self.assertEqual(len(replica.ran), 1)

    def test_lost_answer_is_unknown_and_not_run_again(self):
        replicas = (
            FakeReplica('s1', unanswered=1),
            FakeReplica('s2', unanswered=1),
        )
        router = self.start(*replicas)
        key = self.key(router)
        for _ in range(2):
            response = router.send(
                'POST',
                PATH,
                idempotency_key=key,
                x_mallowcrank_deadline_ms='400',
            )
            self.assertEqual(self.outcome(response)[1], 'unknown')
            self.assertEqual(response.headers['x-should-retry'], 'false')
        self.assertEqual(sum(len(each.ran) for each in replicas), 1)

    def test_deadline_of_an_unanswered_call_leaves_it_unknown(self):
        replica = FakeReplica('s1', unanswered=1)
        router = self.start(replica)
        key = self.key(router)
        short = router.send(
            'POST', PATH, idempotency_key=key, x_mallowcrank_deadline_ms='300'
        )
        self.assertEqual(self.outcome(short)[1], 'unknown')
        self.assertEqual(len(replica.ran), 1)

    def test_call_that_did_not_run_is_retried_on_another_replica(self):
        replicas = FakeReplica('s1', refusals=1), FakeReplica('s2', refusals=1)
        router = self.start(*replicas)
        response = router.send('POST', PATH, idempotency_key=self.key(router))
        self.assertEqual(self.outcome(response), (200, 'yes'))
        self.assertEqual(sum(len(each.ran) for each in replicas), 1)

    def test_refusal_says_not_run_if_no_replica_ran_the_call(self):
        router = self.start(FakeReplica('s1', refusals=9))
        response = router.send('POST', PATH, idempotency_key=self.key(router))
        self.assertEqual(self.outcome(response), ('target_refused', 'no'))
        self.assertEqual(response.headers['retry-after'], '1')

    def test_unanswered_alert_is_retried_on_another_replica(self):
        replicas = [
            FakeReplica(each, 'alert', unanswered=1) for each in ('a1', 'a2')
        ]
        router = self.start(*replicas)
        response = router.send('POST', '/v1/services/alert/train')
        self.assertEqual(self.outcome(response), (200, 'yes'))
        # Each replica left one attempt unanswered, so that there was a third.
        attempted_targets = self.attempted_targets(router)
        self.assertEqual(set(attempted_targets[:2]), {'a1', 'a2'})
        self.assertGreaterEqual(len(attempted_targets), 3)
        self.assertLessEqual(len(attempted_targets), MAX_ATTEMPTS)
        self.assertGreaterEqual(sum(len(each.ran) for each in replicas), 3)
        wait_until(lambda: self.suspects(router) == {'a1', 'a2'})

    def test_unresponsive_connection_to_the_only_replica_is_replaced(self):
        replica = FakeReplica('a1', 'alert', unanswered=1)
        router = self.start(replica)
        response = router.send('POST', '/v1/services/alert/train')
        self.assertEqual(self.outcome(response), (200, 'yes'))

    def test_key_is_forwarded_to_its_keeper(self):
        replica = FakeReplica('s1')
        keeper = self.start(replica, name='keeper')
        me = keeper.router.parts.me
        peer = Peer(me.name, keeper.address, 'a', me.incarnation)
        other = self.start(replica, name='other', peers=(peer,))
        key = self.key(keeper)
        first = other.send('POST', PATH, idempotency_key=key)
        again = keeper.send('POST', PATH, idempotency_key=key)
        self.assertEqual(self.outcome(first), (200, 'yes'))
        self.assertEqual(first.headers['x-mallowcrank-router'], 'keeper')
        self.assertEqual(again.headers['x-mallowcrank-replayed'], 'yes')
        self.assertEqual(len(replica.ran), 1)

    def test_outcome_is_unknown_if_the_keeper_is_gone(self):
        replica = FakeReplica('s1')
        silent = Peer('r9', free_address(), 'a', '9' * 16)
        router = self.start(replica, peers=(silent,))
        for keeper in ('r9', 'r8'):
            key = f'mc1.{keeper}.{"9" * 16}.99999999999.a'
            response = router.send('POST', PATH, idempotency_key=key)
            self.assertEqual(self.outcome(response), ('keeper_gone', 'unknown'))
        self.assertEqual(replica.ran, [])

    def test_expired_or_missing_key_is_refused_as_not_run(self):
        replica = FakeReplica('s1')
        router = self.start(replica)
        me = router.router.parts.me
        now = int(router.router.parts.epoch_now())
        expired = f'mc1.{me.name}.{me.incarnation}.{now - 1}.a'
        response = router.send('POST', PATH, idempotency_key=expired)
        self.assertEqual(self.outcome(response), ('key_expired', 'no'))
        response = router.send('POST', PATH)
        self.assertEqual(self.outcome(response), ('key_required', 'no'))
        self.assertEqual(replica.ran, [])
