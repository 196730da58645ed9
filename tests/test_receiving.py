"""
Tests of the budget for received bytes, and of turns between connections.
"""

import asyncio
import time
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given
from hypothesis import strategies as st

from mallowcrank.gateway.receiving import (
    MEMORY_SHARE,
    MIN_RESUMED_PER_TURN,
    SLICE_BYTES,
    TURN_S,
    Excess,
    Part,
    ReceiveBudget,
    SlicedProtocol,
)
from tests.utils.fake_transport import FakeTransport

CAPACITY_BYTES = 1000


class Peer:
    """
    A connection that records that it was broken off.
    """

    def __init__(self, budget, name):
        self.ended = []
        self.holding = budget.open(self._end)
        self.holding.peer = name

    def _end(self, part):
        self.ended.append(part)
        self.holding.break_off(part)


def budget_of(capacity_bytes):
    return ReceiveBudget(capacity_bytes * MEMORY_SHARE)


class TestReceiveBudget(TestCase):
    def setUp(self):
        self.reports = []
        self.budget = budget_of(CAPACITY_BYTES)
        self.budget.report = self.reports.append

    def test_peer_that_holds_the_most_on_many_connections_is_broken_off(self):
        honest = Peer(self.budget, 'honest')
        honest.holding.resize(400)
        flooding = [Peer(self.budget, 'flooding') for _ in range(5)]
        for number, each in enumerate(flooding):
            each.holding.resize(120 + number)
        self.assertEqual(honest.ended, [])
        self.assertEqual(
            [each.ended for each in flooding], [[], [], [], [], [Part.SHARE]]
        )
        self.assertEqual(self.reports, [Excess('flooding', Part.SHARE, 124)])
        self.assertEqual(self.budget.held_bytes, 400 + 120 + 121 + 122 + 123)

    def test_smaller_budget_is_enforced_at_once(self):
        first = Peer(self.budget, 'first')
        second = Peer(self.budget, 'second')
        first.holding.resize(500)
        second.holding.resize(400)
        self.budget.limit(600 * MEMORY_SHARE)
        self.assertEqual((first.ended, second.ended), ([Part.SHARE], []))

    def test_connection_that_is_ended_without_a_word_holds_nothing(self):
        holding = self.budget.open(lambda part: None)
        holding.resize(CAPACITY_BYTES + 1)
        self.assertEqual(self.budget.held_bytes, 0)

    @given(
        st.lists(
            st.tuples(st.integers(0, 7), st.integers(0, 2 * CAPACITY_BYTES))
        )
    )
    def test_more_than_the_budget_is_never_held(self, sizes):
        budget = budget_of(CAPACITY_BYTES)
        peers = [Peer(budget, number // 2) for number in range(8)]
        for number, held_bytes in sizes:
            peers[number].holding.resize(held_bytes)
            held = sum(each.holding.held_bytes for each in peers)
            self.assertEqual(budget.held_bytes, held)
            self.assertLessEqual(held, CAPACITY_BYTES)


class Reader(SlicedProtocol):
    """
    A connection that records the sizes of its slices.
    """

    def __init__(self, budget, slice_s=0):
        super().__init__(budget)
        self.slices = []
        self._slice_s = slice_s
        self._transport = FakeTransport()

    @property
    def is_paused(self):
        return self._transport.is_paused

    def data_received(self, data):
        self.slices.append(len(data))
        time.sleep(self._slice_s)

    def receive(self, received_bytes):
        self.get_buffer(-1)
        self.buffer_updated(received_bytes)


class TestTurns(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.budget = ReceiveBudget()

    async def count_paused(self, slice_s, turns):
        """
        Return how many of some connections, which all had a slice, are paused
        before each turn.
        """
        size = 3 * MIN_RESUMED_PER_TURN
        readers = [Reader(self.budget, slice_s) for _ in range(size)]
        for reader in readers:
            reader.receive(SLICE_BYTES)
        paused = []
        for _ in range(turns):
            paused.append(sum(each.is_paused for each in readers))
            await asyncio.sleep(0)
        return paused

    async def test_connections_whose_slices_take_long_go_on_in_turns(self):
        paused = await self.count_paused(TURN_S, turns=4)
        self.assertEqual(paused, [6, 4, 2, 0])

    async def test_connections_whose_slices_are_fast_go_on_together(self):
        paused = await self.count_paused(0, turns=2)
        self.assertEqual(paused, [6, 0])

    async def test_short_message_waits_for_no_turn(self):
        reader = Reader(self.budget)
        reader.receive(SLICE_BYTES - 1)
        self.assertFalse(reader.is_paused)
        self.assertEqual(reader.slices, [SLICE_BYTES - 1])

    async def test_turn_does_not_resume_a_connection_that_is_held_up(self):
        reader = Reader(self.budget)
        reader.receive(SLICE_BYTES)
        reader.hold_up(is_held_up=True)
        await asyncio.sleep(0)
        self.assertTrue(reader.is_paused)
        reader.hold_up(is_held_up=False)
        self.assertFalse(reader.is_paused)
