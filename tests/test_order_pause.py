"""
Orders under leases, when agents pause, for each kind of engine.

These guard against an old order that takes effect after a newer one: its agent
paused while it was queued or about to be sent, and resumed later.
"""

from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.leases.endpoints import is_stale
from mallowcrank.leases.holds import HoldPublisher
from mallowcrank.leases.orders import Action, Order, Stage
from mallowcrank.leases.records import DEFAULT_TIMINGS
from mallowcrank.leases.steps import Job
from tests.utils.lease_bench import Bench

QUICK_S = 10
LEASE_END_S = 40
ORDERS_END_S = 120


class OrderCase(TestCase):
    fencing = 'checks'

    def setUp(self):
        self.bench = Bench(self.fencing)
        self.addCleanup(self.bench.close)
        self.engine = self.bench.engine

    def is_done(self, agent, name):
        return agent.jobs()[name].stage is Stage.DONE

    def pause_holder(self):
        """
        Pause the first agent between its last check and the sending.
        """
        first = self.bench.first
        first.pauses_before_sending = True
        first.order('old')
        self.bench.run_until(lambda: first.is_paused, QUICK_S)


class TestAnyEngine(OrderCase):
    def test_order_is_verified_on_the_engine_and_its_lease_released(self):
        first = self.bench.first
        first.order('standby')
        self.bench.run_until(
            lambda: self.is_done(first, 'standby-order'), QUICK_S
        )
        self.assertEqual(self.engine.role, 'standby')
        self.bench.run(QUICK_S)
        self.assertTrue(first.lease().released)

    def test_work_in_flight_ends_before_the_order_is_sent(self):
        self.engine.load = 1
        self.bench.first.order('standby')
        self.bench.run(60)
        self.assertEqual(self.engine.fences, [])
        self.engine.load = 0
        self.bench.run(QUICK_S)
        self.assertEqual(self.engine.role, 'standby')

    def test_orders_for_one_target_run_one_at_a_time(self):
        first = self.bench.first
        first.order('one')
        first.order('two')
        self.bench.run_until(lambda: self.is_done(first, 'two-order'), 30)
        self.assertEqual(self.engine.role, 'two')
        self.assertTrue(self.is_done(first, 'one-order'))

    def test_order_waits_while_another_agent_holds_the_lease(self):
        self.engine.load = 1
        self.bench.first.order('one')
        self.bench.run(5)
        self.bench.second.order('two')
        self.bench.run(60)
        self.assertEqual(
            self.bench.second.jobs()['two-order'].stage, Stage.QUEUED
        )

    def test_order_fails_when_a_log_outage_outlasts_its_lease(self):
        self.engine.load = 1
        self.bench.first.order('standby')
        self.bench.run(5)
        self.bench.log.is_out = True
        self.bench.run(DEFAULT_TIMINGS.lease_s)
        job = self.bench.first.jobs()['standby-order']
        self.assertEqual(job.stage, Stage.FAILED)
        self.engine.load = 0
        self.bench.run(QUICK_S)
        self.assertEqual(self.engine.fences, [])


class TestCheckingEngine(OrderCase):
    def test_engine_refuses_an_order_of_a_holder_that_was_paused(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        self.bench.run_until(lambda: self.engine.role == 'new', LEASE_END_S)
        self.bench.first.resume()
        self.bench.run(ORDERS_END_S)
        self.assertEqual(self.engine.role, 'new')
        self.assertEqual(self.engine.fences, sorted(self.engine.fences))
        job = self.bench.first.jobs()['old-order']
        self.assertEqual(job.stage, Stage.FAILED)

    def test_queued_order_of_a_paused_agent_is_not_carried_out(self):
        first, second = self.bench.first, self.bench.second
        first.order('old')
        first.is_paused = True
        second.order('new')
        self.bench.run_until(lambda: self.is_done(second, 'new-order'), QUICK_S)
        first.resume()
        self.bench.run(ORDERS_END_S)
        self.assertEqual(self.engine.role, 'new')
        job = first.jobs()['old-order']
        self.assertEqual(job.stage, Stage.EXPIRED)
        self.assertIn('expired, ran: no', job.note)

    def test_queued_order_of_a_suspended_host_expires(self):
        first = self.bench.first
        first.order('old')
        self.bench.clock.suspend(ORDERS_END_S)
        self.bench.run(QUICK_S)
        self.assertEqual(first.jobs()['old-order'].stage, Stage.EXPIRED)
        self.assertEqual(self.engine.fences, [])

    def test_order_that_waits_too_long_for_a_lease_expires(self):
        self.engine.load = 1
        self.bench.first.order('one')
        self.bench.run(5)
        second = self.bench.second
        second.order('two')
        self.bench.run(DEFAULT_TIMINGS.max_order_s + 1)
        self.engine.load = 0
        self.bench.run(ORDERS_END_S)
        self.assertEqual(self.engine.role, 'one')
        self.assertEqual(second.jobs()['two-order'].stage, Stage.EXPIRED)

    def test_queued_order_under_a_held_lease_does_not_expire(self):
        self.engine.load = 1
        first = self.bench.first
        first.order('one')
        first.order('two')
        self.bench.run(DEFAULT_TIMINGS.max_order_s + QUICK_S)
        self.engine.load = 0
        self.bench.run_until(
            lambda: self.is_done(first, 'two-order'), LEASE_END_S
        )


class TestIsStale(TestCase):
    def test_delayed_order_is_stale(self):
        self.assertFalse(is_stale({'asked': 1000}, 1005))
        self.assertTrue(is_stale({'asked': 1000}, 1030))
        self.assertTrue(is_stale({'asked': 'soon'}, 1000))

    def test_order_without_a_time_is_accepted(self):
        self.assertFalse(is_stale({}, 1000))


class TestHoldPublisher(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.published = []
        self.holds = HoldPublisher(
            self.published.append, self.clock, DEFAULT_TIMINGS
        )
        self.job = Job('o1', Order('e1', Action.ROLE, role='new'), created=0)
        self.holds.begin(self.job, 7)

    def test_hold_expires_with_the_lease_when_its_holder_dies(self):
        self.assertLessEqual(
            self.published[-1].until, self.clock.now() + DEFAULT_TIMINGS.lease_s
        )

    def test_hold_is_renewed_until_the_order_ends(self):
        for _ in range(100):
            self.clock.advance(1)
            self.holds.renew(self.job)
            self.assertTrue(self.published[-1].active)
            self.assertGreater(self.published[-1].until, self.clock.now())

    def test_end_of_a_hold_is_published_once_and_not_renewed(self):
        self.holds.end(self.job)
        self.clock.advance(DEFAULT_TIMINGS.lease_s)
        self.holds.renew(self.job)
        self.holds.end(self.job)
        self.assertEqual(
            [each.active for each in self.published], [True, False]
        )


class TestIgnoringEngine(OrderCase):
    fencing = 'ignores'

    def test_order_waits_for_the_end_of_the_old_lease_and_its_orders(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        waited_s = self.bench.run_until(
            lambda: self.is_done(second, 'new-order'), ORDERS_END_S
        )
        self.assertGreater(waited_s, DEFAULT_TIMINGS.max_order_s)
        self.bench.first.resume()
        self.bench.run(ORDERS_END_S)
        self.assertEqual(self.engine.role, 'new')
        self.assertEqual(self.engine.fences, sorted(self.engine.fences))

    def test_order_of_a_holder_that_resumes_in_time_precedes_the_next(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        self.bench.run(5)
        self.bench.first.resume()
        self.bench.run_until(
            lambda: self.is_done(second, 'new-order'), ORDERS_END_S
        )
        self.bench.run(ORDERS_END_S)
        self.assertEqual(self.engine.role, 'new')


class TestUnstatedEngine(TestIgnoringEngine):
    fencing = 'unstated'
