"""
Which way to rebuild KV state is sooner, by measured speeds.
"""

from dataclasses import dataclass, replace

from mallowcrank.streams.call_timeouts import EngineLatency

SAMPLE_WEIGHT = 0.25  # of a new sample


@dataclass(frozen=True, slots=True)
class TransferSpeed:
    """
    What transfers of KV state took so far.

    :param bytes_per_token: of exported state.
    :param bytes_per_s: rate of a transfer.
    :param call_s: seconds of the two calls without their bytes.
    """

    bytes_per_token: float = 1024
    bytes_per_s: float = 50_000_000
    overhead_s: float = 0.004


def rerun_seconds(latency: EngineLatency, tokens: int) -> float:
    """
    Estimate the time to run all tokens again on a fresh state.
    """
    return latency.mean_s + latency.prefill_s * tokens


def import_seconds(
    speed: TransferSpeed, latency: EngineLatency, tokens: int
) -> float:
    """
    Estimate the time of an export, an import, and the step that waits.
    """
    moved = 2 * tokens * speed.bytes_per_token / speed.bytes_per_s
    return speed.overhead_s + moved + latency.mean_s


def is_import_faster(
    speed: TransferSpeed, latency: EngineLatency, tokens: int
) -> bool:
    """
    Tell whether importing is estimated to be sooner than running again.
    """
    return import_seconds(speed, latency, tokens) < rerun_seconds(
        latency, tokens
    )


def observe_transfer(
    speed: TransferSpeed, tokens: int, size: int, seconds: float
) -> TransferSpeed:
    """
    Take in one transfer.

    :param tokens: tokens that the state held.
    :param size: bytes of the exported state.
    """
    moving_s = max(seconds - speed.overhead_s, seconds / 2)
    return replace(
        speed,
        bytes_per_token=_blend(speed.bytes_per_token, size / max(1, tokens)),
        bytes_per_s=_blend(speed.bytes_per_s, 2 * size / moving_s),
    )


def _blend(old: float, sample: float) -> float:
    return old + SAMPLE_WEIGHT * (sample - old)
