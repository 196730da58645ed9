"""
KV states of an engine: the tokens that each layer of a stream has processed.
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

    :param name: unique across engines and their restarts.
    :param digests: the folded state of each layer.
    :param counts: the number of tokens processed by each layer.
    :param parent: name of the state that this one was imported from.
    :param last_used_s: steady time of the last step or import, in seconds.
    """

    name: str
    digests: dict[int, int] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    parent: str = ''
    last_used_s: float = 0


@dataclass(frozen=True, slots=True)
class ExportedKv:
    """
    A KV state in transfer to another engine.

    :param state: name of the state that was exported.
    :param digests: pairs of layer and folded state.
    :param counts: pairs of layer and number of tokens processed.
    """

    state: str
    digests: tuple[tuple[int, int], ...]
    counts: tuple[tuple[int, int], ...]


class KvStates:
    """
    All KV states of one engine.

    :param prefix: prefix of the states' names.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._created_count = 0
        self._states: dict[StreamAttempt, KvState] = {}
        self._cancelled: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._states)

    def get(self, stream: str, attempt: int) -> KvState | None:
        """
        Return the state of an attempt at a stream, if any.
        """
        return self._states.get((stream, attempt))

    def find_refusal(self, step: Step, held: tuple[int, int]) -> str:
        """
        Return why a step cannot run, or an empty string.

        :param held: the engine's first and last layer.
        """
        if step.attempt <= self._cancelled.get(step.stream, 0):
            return CANCELLED
        if step.count != len(step.inputs) or step.count < 1:
            return 'the inputs do not match the count of tokens'
        state = self.get(step.stream, step.attempt)
        if state is None:
            return _first_step_refusal(step, held)
        return _sequence_refusal(step, state)

    def export(
        self, stream: str, attempt: int, layers: Iterable[int]
    ) -> ExportedKv | None:
        """
        Return a copy of some layers of a state.

        :returns: `None` if the state lacks any of the layers.
        """
        state = self.get(stream, attempt)
        layer_numbers = tuple(layers)
        if state is None or not all(
            layer in state.counts for layer in layer_numbers
        ):
            return None
        return ExportedKv(
            state.name,
            tuple((layer, state.digests[layer]) for layer in layer_numbers),
            tuple((layer, state.counts[layer]) for layer in layer_numbers),
        )

    def run(
        self, step: Step, total_layers: int, now: float
    ) -> tuple[tuple[int, ...], str]:
        """
        Run a step that `find_refusal` allows.

        :param total_layers: the model's number of layers.
        :param now: steady time in seconds.
        :returns: the outputs and the state's name.
        """
        state = self.get(step.stream, step.attempt) or self._create(
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
        Import layers that the stream's state does not hold yet.

        :param now: steady time in seconds.
        :returns: `None` if the attempt is cancelled or a layer is held.
        """
        if attempt <= self._cancelled.get(stream, 0):
            return None
        state = self.get(stream, attempt)
        layers = [layer for layer, _ in exported.counts]
        if state and any(layer in state.counts for layer in layers):
            return None
        state = state or self._create(stream, attempt)
        state.last_used_s = now
        state.parent = exported.state
        state.digests.update(exported.digests)
        state.counts.update(exported.counts)
        return state

    def cancel(self, stream: str, last_attempt: int) -> None:
        """
        Free a stream's states and refuse further steps of these attempts.

        :param last_attempt: the highest attempt to cancel.
        """
        cancelled_up_to = self._cancelled.get(stream, 0)
        self._cancelled[stream] = max(cancelled_up_to, last_attempt)
        removed = [
            key
            for key in self._states
            if key[0] == stream and key[1] <= last_attempt
        ]
        for key in removed:
            self._states.pop(key)

    def expire(self, cutoff_s: float) -> None:
        """
        Free states that have not been used since a cutoff.

        :param cutoff_s: steady time in seconds.
        """
        removed = [
            key
            for key, state in self._states.items()
            if state.last_used_s < cutoff_s
        ]
        for key in removed:
            self._states.pop(key)

    def _create(self, stream: str, attempt: int) -> KvState:
        self._created_count += 1
        state = KvState(f'{self._prefix}.{self._created_count}')
        self._states[stream, attempt] = state
        return state


def _first_step_refusal(step: Step, held: tuple[int, int]) -> str:
    if step.token:
        return 'there is no such state'
    if step.first_layer < held[0] or step.last_layer > held[1]:
        return 'the layers are not held'
    return ''


def _sequence_refusal(step: Step, state: KvState) -> str:
    layers = range(step.first_layer, step.last_layer + 1)
    counts = [state.counts.get(layer, 0) for layer in layers]
    if all(count == step.token for count in counts):
        return ''
    if all(count >= step.token + step.count for count in counts):
        return REPEATED
    return f'the state holds {min(counts)} tokens, not {step.token}'
