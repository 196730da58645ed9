"""
Summarizes the metrics of gateways, one row per gateway.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from mallowcrank.calls import OK, HttpCaller
from mallowcrank.operators.concurrent_calls import call_each
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

PREFIX = 'mallowcrank_'
FETCH_TIMEOUT_S = 3
MS_PER_S = 1000
COLUMNS = (
    'gateway',
    'in_flight',
    'waiting',
    'served',
    'refused',
    'failed',
    'cut',
    'first_p50_ms',
    'first_p95_ms',
    'store_failures',
    'outage',
)


def gateway_rows(addresses: Sequence[str]) -> list[dict[str, Any]]:
    """
    Fetch and summarize the metrics of gateways.

    :param addresses: metrics addresses, `IP:PORT`.
    :returns: a row for each gateway; one that failed has only the reason.
    """
    rows: list[dict[str, Any]] = []
    for address, answer in call_each(addresses, _fetch).items():
        if isinstance(answer, Failure):
            rows.append({'gateway': address, 'outage': answer.reason})
        else:
            rows.append({'gateway': address, **summarize(answer)})
    return rows


def summarize(text: str) -> dict[str, Any]:
    """
    Return the figures of one gateway from its metrics.

    :raises ValueError: when the text is not in the Prometheus format.
    """
    samples = [
        sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]
    outcomes = _sum_by_label(samples, 'requests_total', 'outcome')
    calls = _sum_by_label(samples, 'store_calls_total', 'outcome')
    buckets = _first_event_buckets(samples)
    return {
        'in_flight': _sum_as_int(samples, 'in_flight'),
        'waiting': _sum_as_int(samples, 'waiting'),
        'served': int(outcomes.get('served', 0)),
        'refused': int(outcomes.get('refused', 0)),
        'failed': int(outcomes.get('failed', 0)),
        'cut': int(outcomes.get('cut', 0)),
        'first_p50_ms': quantile_ms(buckets, 0.5),
        'first_p95_ms': quantile_ms(buckets, 0.95),
        'store_failures': int(sum(calls.values()) - calls.get('ok', 0)),
    }


def quantile_ms(buckets: Sequence[tuple[float, float]], quantile: float) -> str:
    """
    Return the upper bound of the bucket that contains a quantile.

    :param buckets: upper bounds in seconds with cumulative counts, in order.
    :returns: such as `<=100`, or `>500` beyond the last finite bound, in
        milliseconds; empty if nothing was counted.
    """
    total = buckets[-1][1] if buckets else 0
    if not total:
        return ''
    bound_s = next(
        bound for bound, count in buckets if count >= total * quantile
    )
    finite = [bound for bound, _ in buckets if bound != float('inf')]
    if bound_s == float('inf'):
        return f'>{finite[-1] * MS_PER_S:.0f}'
    return f'<={bound_s * MS_PER_S:.0f}'


def _fetch(address: str) -> str | Failure:
    caller = HttpCaller(address, connections=1)
    reply = caller.call('GET', '/metrics', timeout_s=FETCH_TIMEOUT_S)
    if isinstance(reply, Failure):
        return reply
    if reply.status != OK:
        return Failure(f'{address} answered {reply.status}', Ran.NO)
    text = reply.body.decode(errors='replace')
    try:
        summarize(text)
    except ValueError as error:
        return Failure(f'{address} serves no metrics: {error}', Ran.UNKNOWN)
    return text


def _sum_by_label(
    samples: Iterable[Sample], name: str, label: str
) -> Mapping[str, float]:
    sums: dict[str, float] = defaultdict(float)
    for sample in samples:
        if sample.name == PREFIX + name:
            sums[sample.labels.get(label, '')] += sample.value
    return sums


def _sum_as_int(samples: Iterable[Sample], name: str) -> int:
    found = [each.value for each in samples if each.name == PREFIX + name]
    return int(sum(found))


def _first_event_buckets(
    samples: Iterable[Sample],
) -> list[tuple[float, float]]:
    """
    Return the histogram of times to the first event, over all request kinds.
    """
    sums: dict[float, float] = defaultdict(float)
    for sample in samples:
        if sample.name == f'{PREFIX}first_event_seconds_bucket':
            sums[float(sample.labels['le'])] += sample.value
    return sorted(sums.items())
