"""
Traces an answer back through KV states, and checks that every layer ran
exactly once for each token, in order.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowcrank.load.trace import ImportLine, StepLine, Trace

LAYER_BEFORE_FIRST = -1


@dataclass(frozen=True)
class FinalToken:
    """
    The last token of an answer.

    :param token: the index of the token before it.
    :param output: the token id.
    """

    token: int
    output: int


class Lineage:
    """
    All steps and imports, indexed by stream and by state.
    """

    def __init__(self, trace: Trace) -> None:
        self._by_stream: dict[str, list[StepLine]] = defaultdict(list)
        self._by_state: dict[str, list[StepLine]] = defaultdict(list)
        self._imports: dict[str, list[ImportLine]] = defaultdict(list)
        for step in trace.steps:
            self._by_stream[step.stream].append(step)
            self._by_state[step.state].append(step)
        for import_ in trace.imports:
            self._imports[import_.state].append(import_)

    def has_run(self, stream: str) -> bool:
        """
        Check whether any step of a stream ran.
        """
        return stream in self._by_stream

    def find_violation(self, stream: str, last: FinalToken, layers: int) -> str:
        """
        Check all layers that contributed to a stream's last token.

        :param layers: the number of the model's layers.

        :returns: the first violation, or an empty string.
        """
        final_steps = [
            step
            for step in self._by_stream[stream]
            if step.last_layer == layers - 1
            and step.last_token == last.token
            and step.output == str(last.output)
        ]
        if not final_steps:
            return f'no step gave token {last.token + 1} of {stream}'
        problems = [self._check_chain(end) for end in final_steps]
        return '' if '' in problems else problems[0]

    def _check_chain(self, end: StepLine) -> str:
        for layer in range(end.first_layer, end.last_layer + 1):
            problem = self._check_layer(end, layer)
            if problem:
                return problem
        if end.first_layer - 1 == LAYER_BEFORE_FIRST:
            return ''
        problems = [
            self._check_chain(step) for step in self._previous_stage_steps(end)
        ]
        if not problems:
            return (
                f'no step gave layer {end.first_layer} of {end.stream} its '
                f'input for token {end.last_token}'
            )
        return '' if '' in problems else problems[0]

    def _previous_stage_steps(self, end: StepLine) -> Iterator[StepLine]:
        for step in self._by_stream[end.stream]:
            if (
                step.last_layer == end.first_layer - 1
                and step.last_token == end.last_token
                and step.output == end.input_value
            ):
                yield step

    def _check_layer(self, end: StepLine, layer: int) -> str:
        steps = self._steps_until(end, layer)
        return self._check_contiguous(
            end.state, steps, layer, end.last_token + 1
        )

    def _steps_until(self, end: StepLine, layer: int) -> list[StepLine]:
        steps = self._by_state[end.state]
        preceding = steps[: steps.index(end) + 1]
        return [step for step in preceding if _has_layer(step, layer)]

    def _check_contiguous(
        self, state: str, steps: Sequence[StepLine], layer: int, total: int
    ) -> str:
        token_count, problem = self._check_import(state, layer)
        if problem:
            return problem
        for step in steps:
            if step.token < token_count:
                return f'layer {layer} ran token {step.token} twice in {state}'
            if step.token > token_count:
                return f'layer {layer} skipped token {token_count} in {state}'
            token_count += step.count
        if token_count != total:
            return f'layer {layer} of {state} ran {token_count} tokens, not {total}'
        return ''

    def _check_import(self, state: str, layer: int) -> tuple[int, str]:
        """
        Check the state from which a layer was imported.

        :returns: the count of imported tokens, and the violation or an empty
            string.
        """
        imports = [
            each for each in self._imports[state] if _has_layer(each, layer)
        ]
        if not imports:
            return 0, ''
        if len(imports) > 1:
            return 0, f'layer {layer} of {state} was imported twice'
        imported = imports[0]
        steps: list[StepLine] = []
        for step in self._by_state[imported.parent]:
            if _has_layer(step, layer) and step.last_token < imported.count:
                steps.append(step)
        problem = self._check_contiguous(
            imported.parent, steps, layer, imported.count
        )
        return imported.count, problem


def _has_layer(line: StepLine | ImportLine, layer: int) -> bool:
    return line.first_layer <= layer <= line.last_layer
