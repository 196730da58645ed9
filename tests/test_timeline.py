"""
The time line over several processes.
"""

from unittest import TestCase

from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.timeline import Filter, Timeline, merge_rings


class TestTimeline(TestCase):
    def setUp(self):
        self.early = FakeClock(1000)
        self.late = FakeClock(900)
        self.sender = Timeline('h1', HybridClock(self.early))
        self.receiver = Timeline('h2', HybridClock(self.late))

    def test_answer_follows_question_though_clocks_differ(self):
        self.sender.record('router', 'sent', request='r1')
        self.receiver.observe(self.sender.stamp())
        self.receiver.record('agent', 'received', request='r1')
        merged = merge_rings([self.receiver.events(), self.sender.events()])
        self.assertEqual([event.what for event in merged], ['sent', 'received'])

    def test_ring_drops_the_oldest(self):
        ring = Timeline('h1', HybridClock(self.early), capacity=2)
        for number in range(3):
            ring.record('router', f'event {number}')
        self.assertEqual(
            [event.what for event in ring.events()], ['event 1', 'event 2']
        )

    def test_filter_by_request_and_target(self):
        self.sender.record('router', 'a', request='r1', target='e1')
        self.sender.record('router', 'b', request='r2', target='e1')
        found = self.sender.events(Filter(request='r2', target='e1'))
        self.assertEqual([event.what for event in found], ['b'])
