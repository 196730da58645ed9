"""
Specifies the fold of settings, with concurrent publishers and duplicates.

Each publisher may have read any prefix of the log before it writes, and the
network may append any record a second time.
"""

from collections.abc import Iterator
from functools import partial
from typing import Any, NamedTuple

from minicheck import Protocol

from mallowcrank.config.outcomes import Outcome, Verdict
from mallowcrank.config.tree import find_outcome, iter_settings, version_of
from mallowcrank.models.settings_log import (
    FOLD_RULES,
    PUBLISHERS,
    RESTORER,
    SETTING,
    Entry,
    FoldLog,
    Log,
    Rules,
    fold_history,
)
from mallowcrank.models.specification import Specification

MAX_RECORDS = 5
MAX_DUPLICATES = 2

Fields = dict[str, Any]


class State(NamedTuple):
    """
    The state of the model.

    :param log: all records ever appended.
    """

    log: Log = ()


Transition = tuple[str, State]


def build(disabled: Rules) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    fold_log = partial(fold_history, disabled)
    return Protocol(
        name='fold',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_transitions, fold_log),
        invariants={
            'each version has one winner': partial(_has_one_winner, fold_log),
            'a record is accepted once': partial(_is_accepted_once, fold_log),
            'a restore drops no change that it had not read': partial(
                _restores_know_changes, fold_log
            ),
            'outcomes reported to publishers match the log': partial(
                _outcomes_match, fold_log
            ),
        },
    )


def _transitions(fold_log: FoldLog, state: tuple[Any, ...]) -> list[Transition]:
    current = State(*state)
    if len(current.log) >= MAX_RECORDS:
        return []
    return [
        *_publish(fold_log, current.log),
        *_restore(current.log),
        *_duplicate(current.log),
    ]


def _publish(fold_log: FoldLog, log: Log) -> Iterator[Transition]:
    for name in PUBLISHERS:
        if any(entry.writer == name for entry in log):
            continue
        for read_count in range(len(log) + 1):
            base = version_of(fold_log(log[:read_count]), SETTING)
            entry = Entry(name, base, read_count - 1)
            yield f'{name} appends', State((*log, entry))


def _restore(log: Log) -> Iterator[Transition]:
    if any(entry.writer == RESTORER for entry in log):
        return
    for read_count in range(len(log) + 1):
        yield 'r restores', State((*log, Entry(RESTORER, -1, read_count - 1)))


def _duplicate(log: Log) -> Iterator[Transition]:
    if len(log) - len(set(log)) >= MAX_DUPLICATES:
        return
    for entry in set(log):
        label = f'the record of {entry.writer} is appended again'
        yield label, State((*log, entry))


def _has_one_winner(fold_log: FoldLog, fields: Fields) -> bool:
    bases = [
        (
            fields['log'][outcome.offset].base,
            _count_restores_before(fields, outcome),
        )
        for outcome in _accepted(fold_log, fields)
        if outcome.record in PUBLISHERS
    ]
    return len(bases) == len(set(bases))


def _count_restores_before(fields: Fields, outcome: Outcome) -> int:
    """
    Distinguish equal base versions before and after a restore.
    """
    writers = [entry.writer for entry in fields['log'][: outcome.offset]]
    return writers.count(RESTORER)


def _is_accepted_once(fold_log: FoldLog, fields: Fields) -> bool:
    accepted = [outcome.record for outcome in _accepted(fold_log, fields)]
    return len(accepted) == len(set(accepted))


def _accepted(fold_log: FoldLog, fields: Fields) -> list[Outcome]:
    log = fields['log']
    return [
        outcome
        for index in range(len(log))
        for outcome in fold_log(log[: index + 1]).outcomes
        if outcome.offset == index and outcome.verdict is Verdict.ACCEPTED
    ]


def _restores_know_changes(fold_log: FoldLog, fields: Fields) -> bool:
    accepted = _accepted(fold_log, fields)
    for restore in accepted:
        entry = fields['log'][restore.offset]
        if entry.writer == RESTORER and any(
            entry.last_read < other.offset < restore.offset
            for other in accepted
        ):
            return False
    return True


def _outcomes_match(fold_log: FoldLog, fields: Fields) -> bool:
    tree = fold_log(fields['log'])
    accepted = {outcome.record for outcome in _accepted(fold_log, fields)}
    for name in PUBLISHERS:
        outcome = find_outcome(tree, name)
        if outcome is None:
            continue
        if outcome.verdict is Verdict.STALE:
            is_correct = all(
                entry.record != name for _, entry in iter_settings(tree)
            )
        else:
            is_accepted = outcome.verdict is Verdict.ACCEPTED
            is_correct = is_accepted == (name in accepted)
        if not is_correct:
            return False
    return True


FOLD = Specification(name='fold', build=build, rules=FOLD_RULES)
