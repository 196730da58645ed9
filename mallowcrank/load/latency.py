"""
Latency percentiles from HDR histograms.
"""

from collections.abc import Iterable, Sequence

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


def percentiles_ms(seconds: Iterable[float]) -> dict[str, float]:
    """
    Return percentiles in milliseconds, with the keys `p50`, `p95`, `p99` and
    `max`.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for each in seconds:
        histogram.record_value(max(1, int(each * MICROSECONDS_PER_SECOND)))
    found = {
        f'p{percent}': histogram.get_value_at_percentile(percent) / 1000
        for percent in PERCENTILES
    }
    return {**found, 'max': histogram.get_max_value() / 1000}


def gaps(times: Sequence[float]) -> list[float]:
    """
    Return the seconds between consecutive times.
    """
    return [
        after - before for before, after in zip(times, times[1:], strict=False)
    ]
