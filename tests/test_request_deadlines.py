"""
Deadlines of requests that waited while the process was paused or busy, and
timeouts of engine calls.
"""

import json
import threading
import time
from dataclasses import replace
from unittest import TestCase

from mallowcrank.router.pause_detector import (
    PauseState,
    earliest_arrival,
    record_tick,
)
from mallowcrank.streams.call_timeouts import (
    CALL_TIMEOUTS,
    call_timeout,
    initial_latency,
    observe_call,
)
from mallowcrank.streams.machine import MAX_LOST_CALLS
from tests.utils.fake_service import FakeReplica
from tests.utils.local_router import LocalRouter, make_view, service, wait_until

DEADLINE_MS = 100
SLOW_SERVICE = service(repeatable=True, timeout_s=20, silence_s=20)


class TestPauses(TestCase):
    def setUp(self):
        self.beats = record_tick(PauseState(10), 10.02)

    def test_arrival_is_now_while_the_process_runs(self):
        self.assertEqual(earliest_arrival(self.beats, 10.03), 10.03)

    def test_arrival_is_the_start_of_a_pause_after_it(self):
        self.assertEqual(earliest_arrival(self.beats, 15), 10.02)
        awake = record_tick(self.beats, 15)
        self.assertEqual(earliest_arrival(awake, 15.01), 10.02)
        later = replace(awake, last_tick=17.5)
        self.assertEqual(earliest_arrival(later, 17.51), 17.51)


class TestQueue(TestCase):
    def test_wait_for_a_thread_counts_towards_the_deadline(self):
        replica = FakeReplica('s1', unanswered=1)
        self.addCleanup(replica.stop)
        view = make_view([replica.target], [SLOW_SERVICE])
        router = LocalRouter(view, threads=1)
        self.addCleanup(router.stop)
        first = self.start(router, '20000', [])
        wait_until(lambda: replica.ran)
        answers = []
        second = self.start(router, str(DEADLINE_MS), answers)
        wait_until(lambda: router.router.waiting_connections)
        time.sleep(2 * DEADLINE_MS / 1000)
        replica.stop()
        for thread in (first, second):
            thread.join()
        error = json.loads(answers[0].whole)['error']
        self.assertEqual(error['code'], 'deadline_passed')
        self.assertEqual(error['ran'], 'no')
        self.assertEqual(len(replica.ran), 1)

    def start(self, router, deadline_ms, answers):
        """
        Send a request to the service from a thread.
        """

        def call():
            answers.append(
                router.send(
                    'POST',
                    '/v1/services/stock/bolt',
                    x_mallowcrank_deadline_ms=deadline_ms,
                )
            )

        thread = threading.Thread(target=call)
        thread.start()
        return thread


class TestCallTimeout(TestCase):
    def test_timeout_follows_the_latency(self):
        latency = initial_latency(50)
        for _ in range(60):
            latency = observe_call(latency, 0.1, 0)
        self.assertAlmostEqual(call_timeout(latency, 0), 0.2, 2)
        for _ in range(60):
            latency = observe_call(latency, 2.1, 100)
        self.assertAlmostEqual(call_timeout(latency, 100), 8.2, 1)

    def test_unresponsive_engine_is_replaced_within_a_few_steps(self):
        step_s = 0.02
        latency = initial_latency(20)
        for _ in range(60):
            latency = observe_call(latency, step_s, 0)
        timeout = call_timeout(latency, 0)
        self.assertGreater(timeout, 2 * step_s)
        self.assertLess(MAX_LOST_CALLS * timeout, 6 * step_s)

    def test_timeout_grows_with_the_deviation(self):
        steady = varying = initial_latency(50)
        for number in range(60):
            steady = observe_call(steady, 0.1, 0)
            varying = observe_call(varying, 0.05 + 0.1 * (number % 2), 0)
        self.assertGreater(
            call_timeout(varying, 0), call_timeout(steady, 0) + 0.15
        )

    def test_timeout_of_a_fast_engine_tolerates_a_stall_of_this_host(self):
        self.assertEqual(
            call_timeout(initial_latency(0.1), 0), CALL_TIMEOUTS.min_s
        )
