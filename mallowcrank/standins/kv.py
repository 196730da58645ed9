"""
KV states of an engine: which tokens each layer of each stream has seen.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowcrank.ports import Step
from mallowcrank.standins.arithmetic import next_token, run_token

REPEATED = 'repeated'
CANCELLED = 'cancelled'

StreamAttempt = tuple[str, int]


@dataclass
class KvState:
    """
    The KV state of one attempt at one stream.

    :param name: unique over all engines and their restarts.
    :param digests: the folded state by layer.
    :param counts: tokens held, by layer.
    :param parent: the state that this one was imported from.
    """

    name: str
    digests: dict[int, int] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    parent: str = ''
    last_used_s: float = 0


@dataclass(frozen=True, slots=True)
class ExportedKv:
    """
    A KV state on its way to another engine.

    :param state: the name of the exporting state.
    :param digests: pairs of layer and folded state.
    :param counts: pairs of layer and tokens held.
    """

    state: str
    digests: tuple[tuple[int, int], ...]
    counts: tuple[tuple[int, int], ...]


class KvStates:
    """
    All KV states of one engine.

    :param prefix: starts the name of each state.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._made = 0
        self._states: dict[StreamAttempt, KvState] = {}
        self._cancelled: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._states)

    def get(self, stream: str, attempt: int) -> KvState | None:
        """
        Return a stream's state.
        """
        return self._states.get((stream, attempt))

    def find_refusal(self, step: Step, held: tuple[int, int]) -> str:
        """
        Return why a step may not run, or an empty string.

        :param held: the engine's first and last layer.
        """
        if step.attempt <= self._cancelled.get(step.stream, 0):
            return CANCELLED
        if step.count != len(step.inputs) or step.count < 1:
            return 'the inputs do not match the count of tokens'
        state = self.get(step.stream, step.attempt)
        if state is None:
            return _new_state_refusal(step, held)
        return _order_refusal(step, state)

    def export(
        self, stream: str, attempt: int, layers: Iterable[int]
    ) -> ExportedKv | None:
        """
        Return a copy of some layers of a state, where all are held.
        """
        state = self.get(stream, attempt)
        wanted = tuple(layers)
        if state is None or not all(layer in state.counts for layer in wanted):
            return None
        return ExportedKv(
            state.name,
            tuple((layer, state.digests[layer]) for layer in wanted),
            tuple((layer, state.counts[layer]) for layer in wanted),
        )

    def run(
        self, step: Step, total_layers: int, now: float
    ) -> tuple[tuple[int, ...], str]:
        """
        Run a step that was found fit; return its outputs and the state.
        """
        state = self.get(step.stream, step.attempt) or self._make(
            step.stream, step.attempt
        )
        state.last_used_s = now
        layers = range(step.first_layer, step.last_layer + 1)
        outputs = tuple(
            run_token(state.digests, layers, token) for token in step.inputs
        )
        for layer in layers:
            state.counts[layer] = state.counts.get(layer, 0) + step.count
        if step.last_layer == total_layers - 1:
            return (next_token(outputs[-1]),), state.name
        return outputs, state.name

    def import_(
        self, stream: str, attempt: int, exported: ExportedKv, now: float
    ) -> KvState | None:
        """
        Take over layers that the stream's state does not hold yet.
        """
        if attempt <= self._cancelled.get(stream, 0):
            return None
        state = self.get(stream, attempt)
        layers = [layer for layer, _ in exported.counts]
        if state and any(layer in state.counts for layer in layers):
            return None
        state = state or self._make(stream, attempt)
        state.last_used_s = now
        state.parent = exported.state
        state.digests.update(exported.digests)
        state.counts.update(exported.counts)
        return state

    def cancel(self, stream: str, last_attempt: int) -> None:
        """
        Free a stream's states and refuse its later steps.
        """
        known = self._cancelled.get(stream, 0)
        self._cancelled[stream] = max(known, last_attempt)
        gone = [
            key
            for key in self._states
            if key[0] == stream and key[1] <= last_attempt
        ]
        for key in gone:
            self._states.pop(key)

    def expire(self, before: float) -> None:
        """
        Free states that were last used before a time.
        """
        gone = [
            key
            for key, state in self._states.items()
            if state.last_used_s < before
        ]
        for key in gone:
            self._states.pop(key)

    def _make(self, stream: str, attempt: int) -> KvState:
        self._made += 1
        state = KvState(f'{self._prefix}.{self._made}')
        self._states[stream, attempt] = state
        return state


def _new_state_refusal(step: Step, held: tuple[int, int]) -> str:
    if step.token:
        return 'there is no such state'
    if step.first_layer < held[0] or step.last_layer > held[1]:
        return 'the layers are not held'
    return ''


def _order_refusal(step: Step, state: KvState) -> str:
    layers = range(step.first_layer, step.last_layer + 1)
    counts = [state.counts.get(layer, 0) for layer in layers]
    if all(count == step.token for count in counts):
        return ''
    if all(count >= step.token + step.count for count in counts):
        return REPEATED
    return f'the state holds {min(counts)} tokens, not {step.token}'
