"""
Computes the figures of a run from callers' records and targets' traces.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowcrank.load.latency import gaps
from mallowcrank.load.records import CallKind, CallRecord, Outcome
from mallowcrank.load.trace import Trace


@dataclass(frozen=True, slots=True)
class Window:
    """
    The part of a run that counts for throughput, in seconds since the epoch.
    """

    begins: float
    ends: float

    @property
    def seconds(self) -> float:
        """
        Return the length of the window in seconds.
        """
        return self.ends - self.begins


def completed_completions(
    records: Sequence[CallRecord],
) -> tuple[CallRecord, ...]:
    """
    Return the completions with a complete answer.
    """
    return tuple(
        record
        for record in records
        if record.plan.kind is CallKind.COMPLETION
        and record.outcome is Outcome.COMPLETED
    )


def count_outcomes(records: Sequence[CallRecord]) -> Counter[Outcome]:
    """
    Count calls by outcome.
    """
    return Counter(record.outcome for record in records)


def throughput(records: Sequence[CallRecord], window: Window) -> float:
    """
    Return tokens per second, of complete answers only.
    """
    tokens = sum(tokens_by_branch(records, window).values())
    return tokens / window.seconds


def tokens_by_branch(
    records: Sequence[CallRecord], window: Window
) -> Counter[str]:
    """
    Count the tokens of complete answers received inside the window.
    """
    tokens: Counter[str] = Counter()
    for record in completed_completions(records):
        tokens[record.plan.branch] += sum(
            size
            for received, size in record.token_times
            if window.begins <= received < window.ends
        )
    return tokens


def branch_shares(
    records: Sequence[CallRecord], window: Window
) -> dict[str, float]:
    """
    Return each branch's share of the tokens, from 0 to 1.
    """
    tokens = tokens_by_branch(records, window)
    total = sum(tokens.values())
    return {
        branch: round(count / total, 4) if total else 0
        for branch, count in sorted(tokens.items())
    }


def first_token_seconds(records: Sequence[CallRecord]) -> list[float]:
    """
    Return how long callers waited for the first token, in seconds, including
    retries.
    """
    return [
        record.token_times[0][0] - record.started
        for record in completed_completions(records)
        if record.token_times
    ]


def between_tokens_seconds(records: Sequence[CallRecord]) -> list[float]:
    """
    Return the seconds between consecutive chunks of answers.
    """
    return [
        gap
        for record in completed_completions(records)
        for gap in gaps([received for received, _ in record.token_times])
    ]


def call_seconds(records: Sequence[CallRecord], serves: str) -> list[float]:
    """
    Return how long answered calls of a service took, in seconds, including
    retries.
    """
    return [
        record.ended - record.started
        for record in records
        if record.plan.serves == serves and record.outcome is Outcome.COMPLETED
    ]


def recovery_seconds(
    records: Sequence[CallRecord], fault_at: float
) -> float | None:
    """
    Return the longest gap without a token, in seconds, among the calls that a
    fault could interrupt. The first gap of a call starts at its last token
    before the fault, or at the fault itself if there was none; later gaps lie
    between tokens after the fault.

    Tokens of failed tries count too: otherwise a gap would start earlier than
    the interruption. Completed calls without a token before the fault waited
    in a queue and are left out, unless a try that may have run failed later.

    :param fault_at: seconds since the epoch.
    :returns: `None` if no call was interruptible.
    """
    waits = [
        wait
        for record in records
        if record.started <= fault_at < record.ended
        and _was_interruptible(record, fault_at)
        for wait in _waits_after(record, fault_at)
    ]
    return max(waits, default=None)


def _was_interruptible(record: CallRecord, fault_at: float) -> bool:
    received = record.received_times
    if not received or record.outcome is not Outcome.COMPLETED:
        return True
    if received[0] <= fault_at:
        return True
    return any(
        each.ended > fault_at and each.problem and each.ran != 'no'
        for each in record.tries
    )


def _waits_after(record: CallRecord, fault_at: float) -> Iterator[float]:
    times = list(record.received_times)
    if not times or record.outcome is not Outcome.COMPLETED:
        times.append(record.ended)
    before = [each for each in times if each <= fault_at] or [fault_at]
    after = [each for each in times if each > fault_at]
    yield from gaps(before[-1:] + after)


def leaving_to_last_work_seconds(trace: Trace) -> float | None:
    """
    Return how long after announcing its leaving a target last received a new
    stream or call, in seconds; the longest time of all leaving targets.

    :returns: `None` if no target left.
    """
    left_at = {
        mark.target: mark.time
        for mark in trace.target_events
        if mark.event == 'leaving'
    }
    if not left_at:
        return None
    return max(
        max(_new_work_times(trace, target), default=left) - left
        for target, left in left_at.items()
    )


def _new_work_times(trace: Trace, target: str) -> Iterator[float]:
    left_at = [
        mark.time
        for mark in trace.target_events
        if mark.target == target and mark.event == 'leaving'
    ]
    first_step_times: dict[str, float] = {}
    for step in trace.steps:
        if step.target == target:
            first_step_times.setdefault(step.stream, step.time)
    yield from (each for each in first_step_times.values() if each > left_at[0])
    for call in trace.calls:
        if call.target == target and call.time > left_at[0]:
            yield call.time
