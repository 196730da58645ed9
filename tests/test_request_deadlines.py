"""
Deadlines of requests that waited while the process was paused.
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
from mallowcrank.streams.machine import MAX_DOUBTS
from mallowcrank.streams.silence import (
    SILENCE_LIMITS,
    first_pace,
    observe_call,
    silence_limit,
)
from tests.utils.fake_service import FakeReplica
from tests.utils.local_router import (
    LocalRouter,
    make_view,
    service,
    wait_until,
)

WAIT_MS = 100
PATIENT = service(repeatable=True, timeout_s=20, silence_s=20)


class TestPauses(TestCase):
    def setUp(self):
        self.beats = record_tick(PauseState(10), 10.02)

    def test_request_counts_from_now_while_the_process_runs(self):
        self.assertEqual(earliest_arrival(self.beats, 10.03), 10.03)

    def test_request_counts_from_the_start_of_a_pause(self):
        self.assertEqual(earliest_arrival(self.beats, 15), 10.02)
        awake = record_tick(self.beats, 15)
        self.assertEqual(earliest_arrival(awake, 15.01), 10.02)
        later = replace(awake, last_tick=17.5)
        self.assertEqual(earliest_arrival(later, 17.51), 17.51)


class TestQueue(TestCase):
    def test_wait_for_a_thread_counts_against_the_deadline(self):
        replica = FakeReplica('s1', mute=1)
        self.addCleanup(replica.stop)
        view = make_view([replica.target], [PATIENT])
        router = LocalRouter(view, threads=1)
        self.addCleanup(router.stop)
        first = self.start(router, '20000', [])
        wait_until(lambda: replica.ran)
        answers = []
        second = self.start(router, str(WAIT_MS), answers)
        wait_until(lambda: router.router.waiting_connections)
        time.sleep(2 * WAIT_MS / 1000)
        replica.stop()
        for thread in (first, second):
            thread.join()
        error = json.loads(answers[0].whole)['error']
        self.assertEqual(error['code'], 'deadline_passed')
        self.assertEqual(error['ran'], 'no')
        self.assertEqual(len(replica.ran), 1)

    def start(self, router, deadline_ms, answers):
        """
        Call the service in a thread.
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


class TestSilence(TestCase):
    def test_limit_follows_the_engine(self):
        pace = first_pace(50)
        for _ in range(60):
            pace = observe_call(pace, 0.1, 0)
        self.assertAlmostEqual(silence_limit(pace, 0), 0.2, 2)
        for _ in range(60):
            pace = observe_call(pace, 2.1, 100)
        self.assertAlmostEqual(silence_limit(pace, 100), 8.2, 1)

    def test_silent_engine_is_given_up_within_a_few_steps(self):
        step_s = 0.02
        pace = first_pace(20)
        for _ in range(60):
            pace = observe_call(pace, step_s, 0)
        limit = silence_limit(pace, 0)
        self.assertGreater(limit, 2 * step_s)
        self.assertLess(MAX_DOUBTS * limit, 6 * step_s)

    def test_unsteady_engine_is_given_more_time(self):
        steady = unsteady = first_pace(50)
        for number in range(60):
            steady = observe_call(steady, 0.1, 0)
            unsteady = observe_call(unsteady, 0.05 + 0.1 * (number % 2), 0)
        self.assertGreater(
            silence_limit(unsteady, 0), silence_limit(steady, 0) + 0.15
        )

    def test_fast_engine_is_not_doubted_by_a_stall_of_this_host(self):
        self.assertEqual(
            silence_limit(first_pace(0.1), 0), SILENCE_LIMITS.min_s
        )
