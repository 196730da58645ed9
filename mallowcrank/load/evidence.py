"""
What the judge reads: records, traces, and what each answer must be.
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
    What the load tool saw besides calls.

    :param struck: how often each ordered fault struck, by stand-in and fault.
    :param config_in_force_s: seconds from the order to publish settings until
        they were in force on every router.
    :param config_within_s: the time that is allowed; 0: none is set.
    """

    fault_counts: Mapping[str, int] = field(default_factory=dict)
    config_in_force_s: float | None = None
    config_within_s: float = 0


@dataclass(frozen=True)
class Evidence:
    """
    All that the judge reads.

    :param layers: the count of layers by model.
    """

    records: Sequence[CallRecord]
    trace: Trace
    layers: Mapping[str, int]
    observations: Observations = Observations()
    lineage: Lineage = field(init=False)
    expected_answers: Mapping[int, str] = field(init=False)

    def __post_init__(self) -> None:
        """
        Index the trace and work out what each answer must be.
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
    Name a call in a finding.
    """
    return f'call {record.plan.number} ({record.plan.serves})'


def request_ids(record: CallRecord) -> set[str]:
    """
    Return the ids of all requests of a call.
    """
    return {each.request for each in record.tries if each.request}


def body_hash(record: CallRecord) -> str:
    """
    Return the hash of a service call's body, as traces have it.
    """
    return xxh64_hexdigest(record.plan.prompt.encode())


def last_problem(record: CallRecord) -> str:
    """
    Return why the last try brought no answer.
    """
    return record.tries[-1].problem if record.tries else 'it was never tried'


def find_length_problem(record: CallRecord) -> str:
    """
    Return how a completion falls short of what it says, or an empty string.
    """
    got = len(record.answer)
    if got != record.told_tokens:
        return f'it has {got} tokens, and says {record.told_tokens}'
    if record.finish == 'length' and got != record.plan.max_tokens:
        return f'it ends after {got} tokens of {record.plan.max_tokens}'
    if record.finish not in {'length', 'stop'}:
        return f'it ends for no reason: {record.finish!r}'
    return ''


def is_expected(record: CallRecord, evidence: Evidence) -> bool:
    """
    Tell whether the text is right, as far as it goes.
    """
    expected = evidence.expected_answers.get(record.plan.number, '')
    if record.outcome is Outcome.COMPLETED and record.finish == 'stop':
        return record.answer == expected
    return expected.startswith(record.answer)


def final_token(record: CallRecord) -> FinalToken:
    """
    Return the last token of a whole completion.
    """
    prompt = len(record.plan.prompt.encode())
    got = len(record.answer)
    if record.finish == 'stop':
        return FinalToken(prompt + got - 1, END_TOKEN)
    return FinalToken(prompt + got - 2, ord(record.answer[-1]))


def is_own_service_answer(record: CallRecord) -> bool:
    """
    Tell whether a service's answer is to this very call.
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
