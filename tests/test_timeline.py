"""
The timeline: order over several processes, bounded size and filters.
"""

from unittest import TestCase

from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.timeline import Filter, Timeline, merge_rings


class TestTimeline(TestCase):
    def setUp(self):
        self.clock = FakeClock(1000)
        self.slow_clock = FakeClock(900)
        self.sender = Timeline('h1', HybridClock(self.clock))
        self.receiver = Timeline('h2', HybridClock(self.slow_clock))

    def test_receipt_follows_sending_despite_clock_skew(self):
        self.sender.record('router', 'sent', request='r1')
        self.receiver.observe(self.sender.stamp())
        self.receiver.record('agent', 'received', request='r1')
        merged = merge_rings([self.receiver.events(), self.sender.events()])
        self.assertEqual([event.what for event in merged], ['sent', 'received'])

    def test_full_ring_drops_the_oldest_event(self):
        ring = Timeline('h1', HybridClock(self.clock), capacity=2)
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
