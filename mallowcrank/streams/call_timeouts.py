"""
How long a call to an engine may stay silent, by the engine's measured pace.
"""

from dataclasses import dataclass, replace

MAX_TIMEOUT_S = 10
SAMPLE_WEIGHT = 0.125  # of a new sample


@dataclass(frozen=True, slots=True)
class CallTimeouts:
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
    latency_factor: float = 2
    prefill_factor: float = 4
    deviation_factor: float = 4


CALL_TIMEOUTS = CallTimeouts()


@dataclass(frozen=True, slots=True)
class EngineLatency:
    """
    What an engine's calls took so far.

    :param mean_s: seconds of a call of single tokens.
    :param deviation_s: mean deviation of it.
    :param prefill_s: seconds for each further token of a step.
    """

    mean_s: float
    deviation_s: float
    prefill_s: float


def initial_latency(step_ms: float) -> EngineLatency:
    """
    Return the pace to start from.

    :param step_ms: the step time that the target states.
    """
    step_s = step_ms / 1000
    return EngineLatency(
        mean_s=2 * step_s, deviation_s=step_s, prefill_s=step_s / 4
    )


def observe_call(
    latency: EngineLatency, seconds: float, extra_tokens: int
) -> EngineLatency:
    """
    Take in one call.

    :param further_tokens: tokens of its steps beyond one for each step.
    """
    if extra_tokens:
        sample = max(0, seconds - latency.mean_s) / extra_tokens
        return replace(latency, prefill_s=_blend(latency.prefill_s, sample))
    error = abs(seconds - latency.mean_s)
    return replace(
        latency,
        mean_s=_blend(latency.mean_s, seconds),
        deviation_s=_blend(latency.deviation_s, error),
    )


def call_timeout(
    latency: EngineLatency,
    extra_tokens: int,
    limits: CallTimeouts = CALL_TIMEOUTS,
) -> float:
    """
    Return the seconds of silence after which a call is in doubt.

    :param further_tokens: as above, of the call and of those in flight before
        it.
    """
    limit = (
        limits.latency_factor * latency.mean_s
        + limits.prefill_factor * latency.prefill_s * extra_tokens
        + limits.deviation_factor * latency.deviation_s
    )
    return min(MAX_TIMEOUT_S, max(limits.min_s, limit))


def _blend(old: float, sample: float) -> float:
    return old + SAMPLE_WEIGHT * (sample - old)
