"""
Randomized simulation of one stream's state machine and its engines.

Messages are reordered, duplicated, delayed and lost; engines crash, restart
with an empty state and start to leave. A run is determined by its seed.
"""

from random import Random

from mallowcrank.ports import StepResult
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import (
    Emit,
    Fail,
    FindRoute,
    Finish,
    FreeStates,
    SendStep,
    Transfer,
    Wait,
)
from mallowcrank.streams.events import (
    Answered,
    InputLimitReached,
    Lost,
    NoRoute,
    RouteFound,
    Started,
    TargetLeaving,
    Transferred,
    WaitOver,
)
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.state import StreamState, Task
from tests.utils.fake_engine import FIRST_LETTER, LAYERS, LETTERS, run_layer

NO_PATH = Refused(Reason.NO_ROUTE, Ran.NO, 'no path')


class SimulatedEngine:
    """
    Simulated engine with its KV states.

    Each state records a lineage: for each layer, the indexes of the tokens that
    ran, in order.
    """

    def __init__(self, name, first, last):
        self.name = name
        self.first = first
        self.last = last
        self.states = {}
        self.cancelled = 0
        self.is_alive = True
        self.is_leaving = False

    def run(self, step):
        refused = self._find_refusal(step)
        if refused:
            return answer_to(step, refused=refused)
        sums, lineage = self.states.setdefault(step.attempt, ({}, {}))
        outputs = []
        for number, hidden in enumerate(step.inputs, step.token):
            for layer in range(step.first_layer, step.last_layer + 1):
                hidden = run_layer(sums, layer, hidden)
                lineage.setdefault(layer, []).append(number)
            outputs.append(hidden)
        if step.last_layer == LAYERS - 1:
            outputs = [FIRST_LETTER + outputs[-1] % LETTERS]
        return answer_to(step, outputs=tuple(outputs))

    def _find_refusal(self, step):
        if self.is_leaving:
            return 'leaving'
        if step.attempt <= self.cancelled:
            return 'cancelled'
        _, lineage = self.states.get(step.attempt, ({}, {}))
        held = len(lineage.get(step.first_layer, ()))
        if not lineage and step.token:
            return 'there is no such state'
        if held >= step.token + step.count:
            return 'repeated'
        return '' if held == step.token else 'the state holds others'


class StreamSimulation:
    """
    Simulation of one stream and its engines.
    """

    def __init__(
        self, seed, engines, prompt=b'hat', count=6, limits_inputs=False
    ):
        self.random = Random(seed)
        self.engines = {each.name: each for each in engines}
        self.state = StreamState(Task('s', tuple(prompt), count))
        self.pending = [Started()]
        self.answer = []
        self.end = None
        self.faults = 12
        self.limits_inputs = limits_inputs

    def run(self, limit=4000):
        """
        Deliver messages until the stream ends.
        """
        for _ in range(limit):
            if self.end is not None:
                return
            self.maybe_inject_fault()
            if self.limits_inputs and self.chance(5):
                self.deliver(InputLimitReached())
            if self.pending:
                number = self.random.randrange(len(self.pending))
                self.deliver(self.pending.pop(number))
        raise AssertionError(f'the stream stands still in {self.state}')

    def chance(self, percent):
        return self.random.randrange(100) < percent

    def maybe_inject_fault(self):
        if not self.faults:
            for each in self.engines.values():
                each.is_alive = True
                each.is_leaving = False
            return
        if not self.chance(10):
            return
        self.faults -= 1
        engine = self.random.choice(list(self.engines.values()))
        kind = self.random.choice(('die', 'restart', 'leave', 'stay'))
        if kind == 'leave':
            self.pending.append(TargetLeaving(engine.name))
        if kind in {'die', 'restart'}:
            engine.states.clear()
        engine.is_alive = kind != 'die'
        engine.is_leaving = kind == 'leave' and self.chance(50)

    def deliver(self, event):
        if isinstance(event, SendStep):
            self.run_step(event)
            return
        after, actions = apply_event(self.state, event)
        self.state = after
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action):
        match action:
            case SendStep():
                self.pending.append(action)
            case Emit(token):
                self.answer.append(token)
            case FindRoute(avoid):
                self.pending.append(self.find_route(avoid))
            case Wait():
                self.pending.append(WaitOver())
            case Transfer():
                self.pending.append(self.transfer(action))
            case FreeStates(target, attempt):
                self.free_states(self.engines[target], attempt)
            case Finish() | Fail():
                self.end = action

    def run_step(self, sent):
        """
        Deliver a step to its engine, or lose it; then deliver its answer once
        or twice, or lose it.
        """
        engine = self.engines[sent.target]
        if not engine.is_alive:
            self.pending.append(Lost(sent.target, sent.step, Ran.NO))
            return
        fault = self.random.choice(('', '', '', '', 'lost', 'twice', 'silent'))
        if self.faults and fault == 'silent':
            self.faults -= 1
            self.pending.append(Lost(sent.target, sent.step, Ran.UNKNOWN))
            return
        answered = Answered(sent.target, engine.run(sent.step))
        if self.faults and fault == 'lost':
            self.faults -= 1
            self.pending.append(Lost(sent.target, sent.step, Ran.UNKNOWN))
            if self.chance(50):
                return
        self.pending.append(answered)
        if fault == 'twice':
            self.pending.append(answered)

    def find_route(self, avoid):
        stages, first = [], 0
        while first < LAYERS:
            holders = [
                each
                for each in self.engines.values()
                if each.first <= first <= each.last and each.name not in avoid
            ]
            if not holders:
                return NoRoute(NO_PATH, may_wait=True)
            chosen = self.random.choice(holders)
            stages.append(Stage(chosen.name, 1, first, chosen.last))
            first = chosen.last + 1
        return RouteFound(Route(tuple(stages)), self.chance(50))

    def transfer(self, action):
        source = self.engines[action.source]
        destination = self.engines[action.stage.target]
        held = source.states.get(action.attempt)
        if held is None or not destination.is_alive or not source.is_alive:
            return Transferred(action.new_attempt, done=False)
        layers = range(action.stage.first_layer, action.stage.last_layer + 1)
        destination.states[action.new_attempt] = (
            {layer: held[0][layer] for layer in layers},
            {layer: list(held[1][layer]) for layer in layers},
        )
        # The answer to the import may be lost.
        return Transferred(action.new_attempt, self.chance(70))

    def free_states(self, engine, attempt):
        if self.end is not None or self.chance(30):
            return
        engine.cancelled = max(engine.cancelled, attempt)
        freed = [each for each in engine.states if each <= attempt]
        for each in freed:
            engine.states.pop(each)

    def lineage(self):
        """
        Return, for each layer, the tokens that ran in the KV states behind the
        final answer.
        """
        found = {}
        for each in self.state.stages:
            engine = self.engines[each.stage.target]
            _, lineage = engine.states.get(each.attempt, ({}, {}))
            for layer in range(
                each.stage.first_layer, each.stage.last_layer + 1
            ):
                found[layer] = lineage.get(layer)
        return found


def answer_to(step, **given):
    """
    Build an engine's answer to a step.
    """
    return StepResult(
        step.stream,
        step.attempt,
        step.token,
        step.first_layer,
        step.last_layer,
        **given,
    )
