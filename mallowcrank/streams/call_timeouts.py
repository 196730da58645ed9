"""
Timeouts of calls to an engine, derived from its measured latency.
"""

from dataclasses import dataclass, replace

MAX_TIMEOUT_S = 10
SAMPLE_WEIGHT = 0.125  # of a new sample in the moving average


@dataclass(frozen=True, slots=True)
class CallTimeouts:
    """
    Parameters of the timeout; docs/REQUESTS.md lists the rate of false alarms
    for several values.

    :param min_s: lower bound in seconds; scheduling on a busy host delays
        answers by tens of milliseconds.
    :param latency_factor: multiple of the mean latency of a call.
    :param prefill_factor: multiple of the mean time of the extra tokens;
        cached prompts make this mean shorter than the time of the next prompt.
    :param deviation_factor: multiple of the mean deviation, added to them.
    """

    min_s: float = 0.05
    latency_factor: float = 2
    prefill_factor: float = 4
    deviation_factor: float = 4


CALL_TIMEOUTS = CallTimeouts()


@dataclass(frozen=True, slots=True)
class EngineLatency:
    """
    Moving averages over past calls to an engine.

    :param mean_s: mean seconds of a call whose steps have one token each.
    :param deviation_s: mean deviation from `mean_s`.
    :param prefill_s: mean seconds for each extra token of a step.
    """

    mean_s: float
    deviation_s: float
    prefill_s: float


def initial_latency(step_ms: float) -> EngineLatency:
    """
    Return the latency to assume before any call was measured.

    :param step_ms: step time that the target announces.
    """
    step_s = step_ms / 1000
    return EngineLatency(
        mean_s=2 * step_s, deviation_s=step_s, prefill_s=step_s / 4
    )


def observe_call(
    latency: EngineLatency, seconds: float, extra_tokens: int
) -> EngineLatency:
    """
    Return the latency updated by a completed call.

    :param seconds: duration of the call.
    :param extra_tokens: tokens beyond the first one of each step.
    """
    if extra_tokens:
        sample = max(0, seconds - latency.mean_s) / extra_tokens
        return replace(
            latency, prefill_s=_update_average(latency.prefill_s, sample)
        )
    deviation = abs(seconds - latency.mean_s)
    return replace(
        latency,
        mean_s=_update_average(latency.mean_s, seconds),
        deviation_s=_update_average(latency.deviation_s, deviation),
    )


def call_timeout(
    latency: EngineLatency,
    extra_tokens: int,
    limits: CallTimeouts = CALL_TIMEOUTS,
) -> float:
    """
    Return the seconds without an answer after which a call has timed out.

    :param extra_tokens: tokens beyond the first one of each step, in this call
        and those in flight before it.
    """
    timeout = (
        limits.latency_factor * latency.mean_s
        + limits.prefill_factor * latency.prefill_s * extra_tokens
        + limits.deviation_factor * latency.deviation_s
    )
    return min(MAX_TIMEOUT_S, max(limits.min_s, timeout))


def _update_average(average: float, sample: float) -> float:
    return average + SAMPLE_WEIGHT * (sample - average)
