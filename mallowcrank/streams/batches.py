"""
Batches of steps that are sent to an engine in one call.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step, StepResult

REPEATED = 'repeated'


@dataclass(frozen=True, slots=True)
class EngineCall:
    """
    A call to an engine with steps of several streams.

    :param number: sequence number among the calls to the engine.
    :param started: steady time in seconds.
    """

    number: int
    steps: tuple[Step, ...]
    started: float

    @property
    def extra_tokens(self) -> int:
        """
        Return the number of tokens beyond the first one of each step.
        """
        return sum(step.count for step in self.steps) - len(self.steps)


def split_batch(
    waiting: list[Step], limit: int
) -> tuple[tuple[Step, ...], list[Step]]:
    """
    Split waiting steps into those of the next call and the rest.

    :param limit: maximum number of steps in the call; if there are more, those
        with the highest priority are taken.
    """
    if len(waiting) <= limit:
        return tuple(waiting), []
    ordered = sorted(waiting, key=lambda step: -step.priority)
    return tuple(ordered[:limit]), ordered[limit:]


def is_answer_pending(refusal: StepResult, timed_out: list[EngineCall]) -> bool:
    """
    Tell whether a call that timed out may still answer a step which the engine
    now refused as repeated.
    """
    if refusal.refused != REPEATED:
        return False
    return any(
        step.stream == refusal.stream
        and step.attempt == refusal.attempt
        and step.token == refusal.token
        for call in timed_out
        for step in call.steps
    )
