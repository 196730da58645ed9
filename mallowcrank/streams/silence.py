"""
How long a call to an engine may stay silent, by the engine's measured pace.
"""

from dataclasses import dataclass, replace

MIN_LIMIT_S = 0.1  # scheduling on a busy host delays answers by tens of ms
MAX_LIMIT_S = 10
PACE_FACTOR = 4  # steps of silence until a call is in doubt
DEVIATIONS = 4
WEIGHT = 0.125  # of a new sample


@dataclass(frozen=True, slots=True)
class Pace:
    """
    What an engine's calls took so far.

    :param mean_s: seconds of a call of single tokens.
    :param deviation_s: mean deviation of it.
    :param prefill_s: seconds for each further token of a step.
    """

    mean_s: float
    deviation_s: float
    prefill_s: float


def first_pace(step_ms: float) -> Pace:
    """
    Return the pace to start from.

    :param step_ms: the step time that the target states.
    """
    step_s = step_ms / 1000
    return Pace(mean_s=2 * step_s, deviation_s=step_s, prefill_s=step_s / 4)


def observe_call(pace: Pace, seconds: float, further_tokens: int) -> Pace:
    """
    Take in one call.

    :param further_tokens: tokens of its steps beyond one for each step.
    """
    if further_tokens:
        sample = max(0, seconds - pace.mean_s) / further_tokens
        return replace(pace, prefill_s=_blend(pace.prefill_s, sample))
    error = abs(seconds - pace.mean_s)
    return replace(
        pace,
        mean_s=_blend(pace.mean_s, seconds),
        deviation_s=_blend(pace.deviation_s, error),
    )


def silence_limit(pace: Pace, further_tokens: int) -> float:
    """
    Return the seconds of silence after which a call is in doubt.
    """
    expected = pace.mean_s + pace.prefill_s * further_tokens
    limit = PACE_FACTOR * expected + DEVIATIONS * pace.deviation_s
    return min(MAX_LIMIT_S, max(MIN_LIMIT_S, limit))


def _blend(old: float, sample: float) -> float:
    return old + WEIGHT * (sample - old)
