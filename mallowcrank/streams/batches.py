"""
Which waiting steps go to an engine in the next call, and which calls are in
doubt.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step, StepResult

REPEATED = 'repeated'


@dataclass(frozen=True, slots=True)
class EngineCall:
    """
    One call with the steps of many streams.

    :param number: counts the calls to one engine.
    :param started: steady time in seconds.
    """

    number: int
    steps: tuple[Step, ...]
    started: float

    @property
    def extra_tokens(self) -> int:
        """
        Return the tokens beyond one for each step.
        """
        return sum(step.count for step in self.steps) - len(self.steps)


def split_batch(
    waiting: list[Step], limit: int
) -> tuple[tuple[Step, ...], list[Step]]:
    """
    Return the steps of the next call, the most urgent first, and the rest.
    """
    if len(waiting) <= limit:
        return tuple(waiting), []
    ordered = sorted(waiting, key=lambda step: -step.priority)
    return tuple(ordered[:limit]), ordered[limit:]


def is_answer_pending(refusal: StepResult, doubtful: list[EngineCall]) -> bool:
    """
    Tell whether a step refused as repeated may still be answered by an
    earlier call in doubt.
    """
    if refusal.refused != REPEATED:
        return False
    return any(
        step.stream == refusal.stream
        and step.attempt == refusal.attempt
        and step.token == refusal.token
        for call in doubtful
        for step in call.steps
    )
