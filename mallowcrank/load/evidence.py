"""
The input of the checks: records, traces and the expected answers.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from xxhash import xxh64_hexdigest

from mallowcrank.load.lineage import FinalToken, Lineage
from mallowcrank.load.records import CallKind, CallRecord, Outcome
from mallowcrank.load.trace import Trace
from mallowcrank.standins.arithmetic import END_TOKEN, expected_answer


@dataclass(frozen=True)
class Observations:
    """
    What the load tool observed besides calls.

    :param fault_counts: the count of requests that each ordered fault affected,
        by stand-in and fault.
    :param config_in_force_s: seconds from the order to publish settings until
        they were in force on every router; `None` if they never were.
    :param config_within_s: the limit in seconds; 0: no limit.
    """

    fault_counts: Mapping[str, int] = field(default_factory=dict)
    config_in_force_s: float | None = None
    config_within_s: float = 0


@dataclass(frozen=True)
class Evidence:
    """
    The input of all checks.

    :param layers: the number of layers by model.
    """

    records: Sequence[CallRecord]
    trace: Trace
    layers: Mapping[str, int]
    observations: Observations = Observations()
    lineage: Lineage = field(init=False)
    expected_answers: Mapping[int, str] = field(init=False)

    def __post_init__(self) -> None:
        """
        Index the trace and compute the expected answers.
        """
        object.__setattr__(self, 'lineage', Lineage(self.trace))
        expected = {
            record.plan.number: _expected_text(record, self.layers)
            for record in self.records
            if record.plan.kind is CallKind.COMPLETION and record.answer
        }
        object.__setattr__(self, 'expected_answers', expected)


def call_label(record: CallRecord) -> str:
    """
    Return the label of a call in findings.
    """
    return f'call {record.plan.number} ({record.plan.serves})'


def request_ids(record: CallRecord) -> set[str]:
    """
    Return the ids of all requests sent for a call.
    """
    return {each.request for each in record.tries if each.request}


def body_hash(record: CallRecord) -> str:
    """
    Return the hash of a service call's body, as written in traces.
    """
    return xxh64_hexdigest(record.plan.prompt.encode())


def last_problem(record: CallRecord) -> str:
    """
    Return why the last try failed.
    """
    return record.tries[-1].problem if record.tries else 'it was never tried'


def find_length_problem(record: CallRecord) -> str:
    """
    Compare the length of a completion with its reported length and limit.

    :returns: the mismatch, or an empty string.
    """
    length = len(record.answer)
    if length != record.told_tokens:
        return f'it has {length} tokens, and says {record.told_tokens}'
    if record.finish == 'length' and length != record.plan.max_tokens:
        return f'it ends after {length} tokens of {record.plan.max_tokens}'
    if record.finish not in {'length', 'stop'}:
        return f'unexpected finish reason: {record.finish!r}'
    return ''


def is_expected(record: CallRecord, evidence: Evidence) -> bool:
    """
    Check the text: a full match if the answer ended with a stop token, a
    prefix otherwise.
    """
    expected = evidence.expected_answers.get(record.plan.number, '')
    if record.outcome is Outcome.COMPLETED and record.finish == 'stop':
        return record.answer == expected
    return expected.startswith(record.answer)


def final_token(record: CallRecord) -> FinalToken:
    """
    Return the last token of a complete answer.
    """
    prompt_length = len(record.plan.prompt.encode())
    length = len(record.answer)
    if record.finish == 'stop':
        return FinalToken(prompt_length + length - 1, END_TOKEN)
    return FinalToken(prompt_length + length - 2, ord(record.answer[-1]))


def is_own_service_answer(record: CallRecord) -> bool:
    """
    Check whether a service's answer belongs to this call.
    """
    try:
        answer = json.loads(record.answer)
    except ValueError:
        return False
    return answer.get('service') == record.plan.serves and answer.get(
        'body'
    ) == json.loads(record.plan.prompt)


def _expected_text(record: CallRecord, layers: Mapping[str, int]) -> str:
    plan = record.plan
    return expected_answer(
        plan.prompt.encode(), layers[plan.serves], plan.max_tokens
    ).decode()
