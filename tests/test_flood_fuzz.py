"""
Property tests of what connections hold, with a fixed seed: floods of any part,
in any pieces and order of arrival, never exceed the budget, and leave nothing
behind.
"""

import asyncio
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from mallowcrank.gateway.caller_channel import CallerChannels
from mallowcrank.gateway.desired import Limits
from mallowcrank.gateway.receiving import MEMORY_SHARE, ReceiveBudget
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import MAX_HEAD_BYTES, TargetChannel
from tests.utils import flooding_caller, flooding_replica
from tests.utils.fake_transport import FakeTransport

FIXED = settings(derandomize=True, deadline=None, max_examples=60)
CAPACITY_BYTES = 200_000
OK = b'HTTP/1.1 200 OK\r\n'
CHANNELS = 4

# Of each step: the channel, the bytes that arrive at once, and whether a
# reader takes an event before.
STEPS = st.lists(
    st.tuples(
        st.integers(0, CHANNELS - 1), st.integers(1, 40_000), st.booleans()
    ),
    max_size=60,
)


def flood_of(beginning, unit):
    """
    Return a function that returns the next bytes of a flood.
    """
    state = [beginning]

    def take(count):
        repeats = max(0, count - len(state[0])) // len(unit) + 1
        available = state[0] + unit * repeats
        state[0] = available[count:]
        return available[:count]

    return take


def answer_floods():
    parts = flooding_replica.PARTS.values()
    return st.lists(
        st.sampled_from(
            [
                (b'' if beginning is None else OK + b''.join(beginning), unit)
                for beginning, unit in parts
            ]
        ),
        min_size=CHANNELS,
        max_size=CHANNELS,
    )


def request_floods():
    return st.lists(
        st.sampled_from(
            [
                (b''.join(beginning), unit)
                for beginning, unit in flooding_caller.PARTS.values()
            ]
        ),
        min_size=CHANNELS,
        max_size=CHANNELS,
    )


class TestFloods(TestCase):
    def setUp(self):
        self.budget = ReceiveBudget(CAPACITY_BYTES * MEMORY_SHARE)

    @FIXED
    @given(answer_floods(), STEPS)
    def test_answers_never_exceed_the_budget(self, floods, steps):
        asyncio.run(self.play_answers(floods, steps))

    async def play_answers(self, floods, steps):
        self.setUp()
        takes = [flood_of(*each) for each in floods]
        channels = [self.ask(number) for number in range(CHANNELS)]
        for number, count, is_read in steps:
            if is_read:
                await channels[number].next_event(0)
            channels[number].data_received(takes[number](count))
            self.assertLessEqual(self.budget.held_bytes, CAPACITY_BYTES)
        for channel in channels:
            channel.close()
        self.assertEqual(self.budget.held_bytes, 0)

    def ask(self, number):
        channel = TargetChannel(Address(f'10.0.0.{number}', 80), self.budget)
        channel.connection_made(FakeTransport())
        channel.send(b'GET / HTTP/1.1\r\n\r\n')
        return channel

    @FIXED
    @given(request_floods(), STEPS)
    def test_requests_never_exceed_the_budget(self, floods, steps):
        asyncio.run(self.play_requests(floods, steps))

    async def play_requests(self, floods, steps):
        self.setUp()
        takes = [flood_of(*each) for each in floods]
        channels = self.accept()
        for number, count, is_served in steps:
            channels[number].data_received(takes[number](count))
            self.assertLessEqual(self.budget.held_bytes, CAPACITY_BYTES)
            if is_served:
                await asyncio.sleep(0)
        for channel in channels:
            channel.connection_lost(None)
        self.assertEqual(self.budget.held_bytes, 0)

    def accept(self):
        async def serve(request, answer):
            answer.send(200, (), b'ok')

        limits = Limits(header_bytes=MAX_HEAD_BYTES)
        shared = CallerChannels(serve, lambda: limits, budget=self.budget)
        channels = [shared.new_channel() for _ in range(CHANNELS)]
        for channel in channels:
            channel.connection_made(FakeTransport())
        return channels
