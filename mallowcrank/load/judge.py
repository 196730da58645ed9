"""
Checks a run against the promises, using only the targets' traces and the
callers' records, independently of the router.

Each check yields one text per finding; a report counts the findings.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from mallowcrank.load.evidence import (
    Evidence,
    body_hash,
    call_label,
    final_token,
    find_length_problem,
    is_expected,
    is_own_service_answer,
    last_problem,
    request_ids,
)
from mallowcrank.load.promises import PromiseFields
from mallowcrank.load.records import CallKind, CallRecord, Outcome

# Findings quote at most the start of an answer.
MAX_QUOTED_CHARACTERS = 200


@dataclass(frozen=True)
class Verdict(PromiseFields):
    """
    The violations found in a run, by promise, one text per finding.

    :param lost: calls with neither an answer nor a refusal, and answers that
        were reported as complete but are not.
    :param doubled: calls marked as not repeatable that ran more than once.
    :param crossed: calls that received the answer to another call.
    :param layer_violations: answers whose lineage or text shows that a layer
        did not run exactly once for each token, in order.
    :param false_refusals: refusals stating that a call did not run although it did.
    :param late_settings: published settings that took effect too late or never.
    :param idle_faults: ordered faults that affected no request, so that the run
        did not test them.
    """

    lost: tuple[str, ...] = ()
    doubled: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    layer_violations: tuple[str, ...] = ()
    false_refusals: tuple[str, ...] = ()
    late_settings: tuple[str, ...] = ()
    idle_faults: tuple[str, ...] = ()


def judge(evidence: Evidence) -> Verdict:
    """
    Check all promises.

    :returns: the findings, by promise.
    """
    return Verdict(
        lost=tuple(find_lost(evidence)),
        doubled=tuple(find_doubled(evidence)),
        crossed=tuple(find_crossed(evidence)),
        layer_violations=tuple(find_layer_violations(evidence)),
        false_refusals=tuple(find_false_refusals(evidence)),
        late_settings=tuple(find_late_settings(evidence)),
        idle_faults=tuple(find_idle_faults(evidence)),
    )


def find_lost(evidence: Evidence) -> Iterator[str]:
    """
    Find calls without a final answer, and incomplete answers.
    """
    for record in evidence.records:
        if record.outcome is Outcome.LOST:
            yield f'{call_label(record)}: {last_problem(record)}'
        elif _is_completed_completion(record):
            problem = find_length_problem(record)
            if problem:
                yield f'{call_label(record)}: {problem}'


def find_doubled(evidence: Evidence) -> Iterator[str]:
    """
    Find calls marked as not repeatable that ran more than once.
    """
    runs = Counter(call.body for call in evidence.trace.calls)
    for record in evidence.records:
        if record.plan.repeatable:
            continue
        if record.plan.kind is CallKind.SERVICE:
            count = runs[body_hash(record)]
        else:
            count = sum(
                evidence.lineage.has_run(request)
                for request in request_ids(record)
            )
        if count > 1:
            yield f'{call_label(record)} ran {count} times'


def find_crossed(evidence: Evidence) -> Iterator[str]:
    """
    Find calls that received another call's answer.
    """
    others = {text for text in evidence.expected_answers.values() if text}
    for record in evidence.records:
        if record.outcome is Outcome.COMPLETED:
            problem = _find_crossed_answer(record, evidence, others)
            if problem:
                yield f'{call_label(record)} {problem}'


def find_layer_violations(evidence: Evidence) -> Iterator[str]:
    """
    Find answers with a wrong text, or for which a layer did not run exactly
    once for each token.
    """
    for record in evidence.records:
        if not record.answer or record.plan.kind is CallKind.SERVICE:
            continue
        if not is_expected(record, evidence):
            yield f'{call_label(record)} has another text than the model gives'
        elif record.outcome is Outcome.COMPLETED:
            problem = evidence.lineage.find_violation(
                record.last_request,
                final_token(record),
                evidence.layers[record.plan.serves],
            )
            if problem:
                yield f'{call_label(record)}: {problem}'


def find_false_refusals(evidence: Evidence) -> Iterator[str]:
    """
    Find refusals stating that a call did not run although it did.
    """
    ran = {call.request for call in evidence.trace.calls}
    bodies = {call.body for call in evidence.trace.calls}
    for record in evidence.records:
        for each in record.tries:
            if each.ran != 'no' or not each.request:
                continue
            if each.request in ran or evidence.lineage.has_run(each.request):
                yield f'{call_label(record)}: {each.request} ran'
        if _is_refused_service(record) and body_hash(record) in bodies:
            yield f'{call_label(record)} ran, though its last answer says no'


def find_late_settings(evidence: Evidence) -> Iterator[str]:
    """
    Find settings that were not in force on every router within the limit.
    """
    limit_s = evidence.observations.config_within_s
    delay_s = evidence.observations.config_in_force_s
    if limit_s and delay_s is None:
        yield 'some router never had the settings in force'
    elif limit_s and delay_s > limit_s:
        yield f'in force after {delay_s} s instead of {limit_s} s'


def find_idle_faults(evidence: Evidence) -> Iterator[str]:
    """
    Find ordered faults that affected no request.
    """
    for fault, count in evidence.observations.fault_counts.items():
        if not count:
            yield f'{fault} struck nothing'


def _is_completed_completion(record: CallRecord) -> bool:
    return (
        record.outcome is Outcome.COMPLETED
        and record.plan.kind is CallKind.COMPLETION
    )


def _is_refused_service(record: CallRecord) -> bool:
    return (
        record.plan.kind is CallKind.SERVICE
        and not record.plan.repeatable
        and record.outcome is Outcome.REFUSED_NOT_RUN
    )


def _find_crossed_answer(
    record: CallRecord, evidence: Evidence, others: set[str]
) -> str:
    if record.plan.kind is CallKind.SERVICE:
        own = is_own_service_answer(record)
        return '' if own else f'got {record.answer[:MAX_QUOTED_CHARACTERS]}'
    if is_expected(record, evidence) or record.answer not in others:
        return ''
    return 'got the answer of another call'
