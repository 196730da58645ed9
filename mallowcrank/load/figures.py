"""
The figures of a run, out of callers' records and targets' traces.
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
        Return how long it is.
        """
        return self.ends - self.begins


def completed_completions(
    records: Sequence[CallRecord],
) -> tuple[CallRecord, ...]:
    """
    Return the completions with a whole answer.
    """
    return tuple(
        record
        for record in records
        if record.plan.kind is CallKind.COMPLETION
        and record.outcome is Outcome.COMPLETED
    )


def count_outcomes(records: Sequence[CallRecord]) -> Counter[Outcome]:
    """
    Count calls by what became of them.
    """
    return Counter(record.outcome for record in records)


def throughput(records: Sequence[CallRecord], window: Window) -> float:
    """
    Return the tokens a second, of whole answers only.
    """
    tokens = sum(tokens_by_branch(records, window).values())
    return tokens / window.seconds


def tokens_by_branch(
    records: Sequence[CallRecord], window: Window
) -> Counter[str]:
    """
    Count the tokens of whole answers that came inside the window.
    """
    tokens: Counter[str] = Counter()
    for record in completed_completions(records):
        tokens[record.plan.branch] += sum(
            size
            for came, size in record.token_times
            if window.begins <= came < window.ends
        )
    return tokens


def branch_shares(
    records: Sequence[CallRecord], window: Window
) -> dict[str, float]:
    """
    Return each branch's part of the tokens.
    """
    tokens = tokens_by_branch(records, window)
    total = sum(tokens.values())
    return {
        branch: round(count / total, 4) if total else 0
        for branch, count in sorted(tokens.items())
    }


def first_token_seconds(records: Sequence[CallRecord]) -> list[float]:
    """
    Return how long callers waited for the first token, retries included.
    """
    return [
        record.token_times[0][0] - record.started
        for record in completed_completions(records)
        if record.token_times
    ]


def between_tokens_seconds(records: Sequence[CallRecord]) -> list[float]:
    """
    Return the seconds between the pieces of answers.
    """
    return [
        gap
        for record in completed_completions(records)
        for gap in gaps([came for came, _ in record.token_times])
    ]


def call_seconds(records: Sequence[CallRecord], serves: str) -> list[float]:
    """
    Return how long whole calls of a service took, retries included.
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
    Return the longest wait of any call that a fault could interrupt: from its
    last token before the fault, or the fault, to its next one, and from each
    token after the fault to the one after it. Tokens of tries that broke
    count as well, so that a wait never begins before what interrupted it.

    Calls that had not got a token yet and whose tries went on are left out:
    they waited in a queue.

    :param fault_at: seconds since the epoch.
    :returns: `None` where no call was running.
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
    before = [came for came in times if came <= fault_at] or [fault_at]
    after = [came for came in times if came > fault_at]
    yield from gaps(before[-1:] + after)


def leaving_to_last_work_seconds(trace: Trace) -> float | None:
    """
    Return how long after its word that it is leaving a target last got a new
    stream or call: the longest time of all leaving targets.

    :returns: `None` where no target left.
    """
    left_at = {
        mark.target: mark.time
        for mark in trace.target_events
        if mark.event == 'leaving'
    }
    if not left_at:
        return None
    return max(
        max(_new_work_times(trace, target), default=told) - told
        for target, told in left_at.items()
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
    yield from (came for came in first_step_times.values() if came > left_at[0])
    for call in trace.calls:
        if call.target == target and call.time > left_at[0]:
            yield call.time
