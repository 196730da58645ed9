"""
Graceful and hard stops of a router.
"""

import json
import threading
from unittest import TestCase

from mallowcrank.status import ExitStatus
from mallowcrank.view import Peer
from tests.utils.fake_engine import FakeEngine, expected_answer
from tests.utils.local_router import (
    LocalRouter,
    events_of,
    make_view,
    text_of,
    wait_until,
)

TOKENS = 30


class TestStop(TestCase):
    def setUp(self):
        self.engine = FakeEngine('e1', 0, 5)
        # The engine reports slow steps, so that a stall of the test's machine
        # does not count as silence.
        self.engine.step_ms = 1000
        self.addCleanup(self.engine.stop)
        self.peer = Peer('r2', '127.0.0.1:1', 'b', '2' * 16)
        view = make_view([self.engine.target], peers=[self.peer])
        self.router = LocalRouter(view, keep_s=0.5)
        self.addCleanup(self.router.agent.stop)
        self.answers = []
        self.statuses = []
        self.threads = []
        self.addCleanup(self.end_router)

    def end_router(self):
        if not self.statuses:
            self.router.stop()

    def run_in_thread(self, work, results):
        thread = threading.Thread(target=lambda: results.append(work()))
        thread.start()
        self.threads.append(thread)

    def stop_router(self):
        self.router.router.request_stop()
        self.run_in_thread(self.router.router.run, self.statuses)

    def wait_all(self):
        for thread in self.threads:
            thread.join()

    def chat(self):
        return self.router.chat(count=TOKENS, stream=True)

    def test_graceful_stop_serves_streams_and_kept_addresses(self):
        """
        Guards against a stop that breaks streams in flight or refuses callers
        that still keep the router's address.
        """
        self.run_in_thread(self.chat, self.answers)
        wait_until(lambda: len(self.engine.ran) > 1)
        self.stop_router()
        wait_until(lambda: self.router.agent.reports[-1]['leaving'])
        addresses = json.loads(self.router.send('GET', '/v1/addresses').whole)
        self.assertEqual(addresses['addresses'], [self.peer.address])
        self.assertTrue(addresses['key_prefix'].startswith('mc1.r2.2222'))
        self.run_in_thread(self.chat, self.answers)
        self.wait_all()
        for answer in self.answers:
            self.assertEqual(text_of(answer), expected_answer(b'hat', TOKENS))
        self.assertEqual(self.statuses, [ExitStatus.SUCCESS])

    def test_second_stop_ends_streams_with_an_error_event(self):
        """
        Guards against a hard stop that hangs, or whose streams seem complete.
        """
        self.start_stalled_stream()
        self.abort_and_check()

    def test_hard_stop_without_a_driver_sends_an_error_event(self):
        """
        Guards against a hard stop that fails because the driver has ended.
        """
        self.start_stalled_stream()
        self.router.router.parts.driver.stop()
        self.abort_and_check()

    def start_stalled_stream(self):
        self.engine.silent_after = 10
        self.engine.recovers = False
        self.run_in_thread(self.chat, self.answers)
        wait_until(lambda: len(self.engine.ran) >= 10)

    def abort_and_check(self):
        self.stop_router()
        self.router.router.request_stop()
        self.wait_all()
        last = events_of(self.answers[0].whole)[-1]
        self.assertEqual(last['error']['code'], 'leaving')
        self.assertEqual(self.statuses, [ExitStatus.HARD_STOP])
