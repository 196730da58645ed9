"""
Orders under leases, with holders that pause and engines of each kind.
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
LAPSE_S = 40
WAIT_OUT_S = 120


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
        Pause the first agent after its last check, before it sends.
        """
        first = self.bench.first
        first.pauses_before_sending = True
        first.order('old')
        self.bench.run_until(lambda: first.is_paused, QUICK_S)


class TestAnyEngine(OrderCase):
    def test_order_under_a_lease_is_read_back_and_the_lease_given_back(self):
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

    def test_orders_for_one_target_go_one_at_a_time(self):
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

    def test_lease_lapses_during_an_outage_of_the_log(self):
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
    def test_order_of_a_paused_holder_is_refused(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        self.bench.run_until(lambda: self.engine.role == 'new', LAPSE_S)
        self.bench.first.resume()
        self.bench.run(WAIT_OUT_S)
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
        self.bench.run(WAIT_OUT_S)
        self.assertEqual(self.engine.role, 'new')
        job = first.jobs()['old-order']
        self.assertEqual(job.stage, Stage.EXPIRED)
        self.assertIn('expired, ran: no', job.note)

    def test_queued_order_of_a_suspended_host_expires(self):
        first = self.bench.first
        first.order('old')
        self.bench.clock.suspend(WAIT_OUT_S)
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
        self.bench.run(WAIT_OUT_S)
        self.assertEqual(self.engine.role, 'one')
        self.assertEqual(second.jobs()['two-order'].stage, Stage.EXPIRED)

    def test_order_under_a_held_lease_outlives_the_queue(self):
        self.engine.load = 1
        first = self.bench.first
        first.order('one')
        first.order('two')
        self.bench.run(DEFAULT_TIMINGS.max_order_s + QUICK_S)
        self.engine.load = 0
        self.bench.run_until(lambda: self.is_done(first, 'two-order'), LAPSE_S)


class TestAskedOrder(TestCase):
    def test_order_that_lay_about_is_late(self):
        self.assertFalse(is_stale({'asked': 1000}, 1005))
        self.assertTrue(is_stale({'asked': 1000}, 1030))
        self.assertTrue(is_stale({'asked': 'soon'}, 1000))

    def test_order_without_a_time_is_taken(self):
        self.assertFalse(is_stale({}, 1000))


class TestHolds(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.spread = []
        self.holds = HoldPublisher(
            self.spread.append, self.clock, DEFAULT_TIMINGS
        )
        self.job = Job('o1', Order('e1', Action.ROLE, role='new'), created=0)
        self.holds.begin(self.job, 7)

    def test_hold_of_a_dead_holder_ends_with_its_lease(self):
        self.assertLessEqual(
            self.spread[-1].until, self.clock.now() + DEFAULT_TIMINGS.lease_s
        )

    def test_hold_outlasts_its_lease_while_the_order_is_at_work(self):
        for _ in range(100):
            self.clock.advance(1)
            self.holds.renew(self.job)
            self.assertTrue(self.spread[-1].active)
            self.assertGreater(self.spread[-1].until, self.clock.now())

    def test_ended_hold_is_spread_once_and_not_renewed(self):
        self.holds.end(self.job)
        self.clock.advance(DEFAULT_TIMINGS.lease_s)
        self.holds.renew(self.job)
        self.holds.end(self.job)
        self.assertEqual([each.active for each in self.spread], [True, False])


class TestIgnoringEngine(OrderCase):
    fencing = 'ignores'

    def test_old_lease_and_its_orders_are_waited_out(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        waited_s = self.bench.run_until(
            lambda: self.is_done(second, 'new-order'), WAIT_OUT_S
        )
        self.assertGreater(waited_s, DEFAULT_TIMINGS.max_order_s)
        self.bench.first.resume()
        self.bench.run(WAIT_OUT_S)
        self.assertEqual(self.engine.role, 'new')
        self.assertEqual(self.engine.fences, sorted(self.engine.fences))

    def test_holder_that_wakes_in_time_comes_before_the_next(self):
        self.pause_holder()
        second = self.bench.second
        second.order('new')
        self.bench.run(5)
        self.bench.first.resume()
        self.bench.run_until(
            lambda: self.is_done(second, 'new-order'), WAIT_OUT_S
        )
        self.bench.run(WAIT_OUT_S)
        self.assertEqual(self.engine.role, 'new')


class TestUnstatedEngine(TestIgnoringEngine):
    fencing = 'unstated'
