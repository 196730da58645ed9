"""
How long a call to an engine may stay silent, by the engine's measured pace.
"""

from dataclasses import dataclass, replace

MAX_LIMIT_S = 10
WEIGHT = 0.125  # of a new sample


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """
    When a call is in doubt; docs/REQUESTS.md has the false alarms of each.

    :param min_s: seconds; scheduling on a busy host delays answers by tens
        of ms.
    :param pace_factor: usual calls.
    :param prefill_factor: usual times of further tokens; cached prompts make
        the usual time shorter than that of the next prompt.
    :param deviations: mean deviations of a call beside them.
    """

    min_s: float = 0.05
    pace_factor: float = 2
    prefill_factor: float = 4
    deviations: float = 4


SILENCE_LIMITS = SilenceLimits()


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


def silence_limit(
    pace: Pace,
    further_tokens: int,
    limits: SilenceLimits = SILENCE_LIMITS,
) -> float:
    """
    Return the seconds of silence after which a call is in doubt.

    :param further_tokens: as above, of the call and of those in flight before
        it.
    """
    limit = (
        limits.pace_factor * pace.mean_s
        + limits.prefill_factor * pace.prefill_s * further_tokens
        + limits.deviations * pace.deviation_s
    )
    return min(MAX_LIMIT_S, max(limits.min_s, limit))


def _blend(old: float, sample: float) -> float:
    return old + WEIGHT * (sample - old)
