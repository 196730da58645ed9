"""
Estimates which way to rebuild a KV state is faster.
"""

from dataclasses import dataclass, replace

from mallowcrank.streams.call_timeouts import EngineLatency

SAMPLE_WEIGHT = 0.25  # of a new sample in the moving average


@dataclass(frozen=True, slots=True)
class TransferSpeed:
    """
    Moving averages over past transfers of KV states.

    :param bytes_per_token: size of an exported state for each token.
    :param bytes_per_s: transfer rate.
    :param overhead_s: seconds for the export and import calls, without the
        transfer of their bytes.
    """

    bytes_per_token: float = 1024
    bytes_per_s: float = 50_000_000
    overhead_s: float = 0.004


def rerun_seconds(latency: EngineLatency, tokens: int) -> float:
    """
    Estimate the seconds to run all tokens again from an empty KV state.
    """
    return latency.mean_s + latency.prefill_s * tokens


def import_seconds(
    speed: TransferSpeed, latency: EngineLatency, tokens: int
) -> float:
    """
    Estimate the seconds for an export, an import and the pending step.
    """
    transfer_s = 2 * tokens * speed.bytes_per_token / speed.bytes_per_s
    return speed.overhead_s + transfer_s + latency.mean_s


def is_import_faster(
    speed: TransferSpeed, latency: EngineLatency, tokens: int
) -> bool:
    """
    Tell whether importing a KV state is estimated to be faster than running
    all tokens again.
    """
    return import_seconds(speed, latency, tokens) < rerun_seconds(
        latency, tokens
    )


def observe_transfer(
    speed: TransferSpeed, tokens: int, size: int, seconds: float
) -> TransferSpeed:
    """
    Return the speed updated by a completed transfer.

    :param tokens: number of tokens in the state.
    :param size: bytes of the exported state.
    """
    transfer_s = max(seconds - speed.overhead_s, seconds / 2)
    return replace(
        speed,
        bytes_per_token=_update_average(
            speed.bytes_per_token, size / max(1, tokens)
        ),
        bytes_per_s=_update_average(speed.bytes_per_s, 2 * size / transfer_s),
    )


def _update_average(average: float, sample: float) -> float:
    return average + SAMPLE_WEIGHT * (sample - average)
