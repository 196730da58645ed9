"""
The bound on kept inputs.
"""

from unittest import TestCase

from mallowcrank.clock import HybridClock, SystemClock
from mallowcrank.metrics import NoMetrics
from mallowcrank.router.ports import RouteDemand
from mallowcrank.streams.actions import Emit
from mallowcrank.streams.carrying import carry_out
from mallowcrank.streams.events import Crowded
from mallowcrank.streams.keeping import InputLedger, KeepingLimits
from mallowcrank.streams.orders import Open
from mallowcrank.streams.outlet import Outlet
from mallowcrank.streams.state import StreamState, Task
from mallowcrank.streams.table import DriverPorts, Running, StreamTable
from mallowcrank.timeline import Timeline

LIMITS = KeepingLimits(size=100, input_size=10)


class TestLedger(TestCase):
    def test_bound_is_for_all_streams(self):
        ledger = InputLedger(LIMITS)
        ledger.put('s', 6)
        ledger.put('t', 4)
        self.assertFalse(ledger.is_over)
        ledger.put('t', 5)
        self.assertTrue(ledger.is_over)
        ledger.drop('s')
        ledger.drop('s')
        ledger.put('t', 10)
        self.assertFalse(ledger.is_over)


class TestTable(TestCase):
    def setUp(self):
        timeline = Timeline('test', HybridClock(SystemClock()))
        ports = DriverPorts(None, None, timeline, NoMetrics(), keeping=LIMITS)
        self.table = StreamTable(ports, None)
        self.addCleanup(self.table.stop)

    def emit(self, stream, inputs):
        task = Task(stream, (1, 2), 9)
        demand = RouteDemand(stream, 'klang/quotes', 'm')
        opened = Open(task, stream, demand, 0, Outlet())
        state = StreamState(task, inputs={0: (1, 2), 3: (7,) * inputs})
        return carry_out(Emit(65), Running(opened, state), self.table)

    def test_stream_over_the_bound_keeps_token_ids_only(self):
        self.assertIsNone(self.emit('s', 6))
        self.assertEqual(self.emit('t', 6), Crowded())
        self.assertIsNone(self.emit('u', 4))

    def test_stream_that_ends_makes_room(self):
        self.assertIsNone(self.emit('s', 10))
        self.table.inputs.drop('s')
        self.assertIsNone(self.emit('t', 10))
