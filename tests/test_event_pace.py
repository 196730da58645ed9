"""
Pauses of streams that cost no probes, as they are usual.
"""

from random import Random
from unittest import TestCase

from mallowcrank.chains.event_pace import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    EventPace,
)
from mallowcrank.gateway.service_streams import StreamServices

EVENTS = 2000


def count_silences(mean_s, deviation_s):
    """
    Return how many pauses of sound streams lead to a question.
    """
    random = Random(1)
    pace = EventPace()
    silences = 0
    for _ in range(EVENTS):
        pause_s = max(0, random.gauss(mean_s, deviation_s))
        silences += pause_s > pace.max_silence_s
        pace.record(pause_s)
    return silences


class TestEventPace(TestCase):
    def test_long_events_are_no_silence(self):
        self.assertLess(count_silences(0.075, 0.008), EVENTS / 100)

    def test_unsteady_events_are_rarely_silence(self):
        self.assertLess(count_silences(0.045, 0.015), EVENTS / 100)

    def test_silence_is_found_at_once_where_events_come_fast(self):
        pace = EventPace()
        for _ in range(20):
            pace.record(0.04)
        self.assertAlmostEqual(pace.max_silence_s, MIN_SILENCE_S, places=3)

    def test_engines_that_crash_do_not_make_gateways_patient(self):
        pace = EventPace()
        for number in range(EVENTS):
            pace.record(5 if number % 10 == 0 else 0.04)
            self.assertLessEqual(pace.max_silence_s, MAX_SILENCE_S)

    def test_services_have_paces_of_their_own(self):
        services = StreamServices()
        slow = services.find('slow').pace
        fast = services.find('fast').pace
        for _ in range(50):
            slow.record(0.1)
            fast.record(0.03)
        self.assertEqual(fast.max_silence_s, MIN_SILENCE_S)
        self.assertGreaterEqual(slow.max_silence_s, 0.1)
