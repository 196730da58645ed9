"""
The fold of settings, with racing publishers and doubled records.

Each publisher has read any part of the log before it writes, and the network
may bring any record a second time.
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
    Log,
    Rules,
    Truth,
    fold_history,
)
from mallowcrank.models.specification import Specification

MAX_RECORDS = 5
MAX_DOUBLES = 2

Seen = dict[str, Any]


class State(NamedTuple):
    """
    All that the model follows.

    :param log: all records ever appended.
    """

    log: Log = ()


Move = tuple[str, State]


def build(without: Rules) -> Protocol:
    """
    Make the protocol with some rules taken out.
    """
    truth = partial(fold_history, without)
    return Protocol(
        name='fold',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_moves, truth),
        invariants={
            'each version has one winner': partial(_one_winner, truth),
            'a record is accepted once': partial(_once, truth),
            'a restore drops nothing unseen': partial(_restores_seen, truth),
            'publishers are told what the log says': partial(_told, truth),
        },
    )


def _moves(truth: Truth, state: tuple[Any, ...]) -> list[Move]:
    now = State(*state)
    if len(now.log) >= MAX_RECORDS:
        return []
    return [*_publish(truth, now.log), *_restore(now.log), *_double(now.log)]


def _publish(truth: Truth, log: Log) -> Iterator[Move]:
    for name in PUBLISHERS:
        if any(entry.writer == name for entry in log):
            continue
        for reach in range(len(log) + 1):
            base = version_of(truth(log[:reach]), SETTING)
            entry = Entry(name, base, reach - 1)
            yield f'{name} appends', State((*log, entry))


def _restore(log: Log) -> Iterator[Move]:
    if any(entry.writer == RESTORER for entry in log):
        return
    for reach in range(len(log) + 1):
        yield 'r restores', State((*log, Entry(RESTORER, -1, reach - 1)))


def _double(log: Log) -> Iterator[Move]:
    if len(log) - len(set(log)) >= MAX_DOUBLES:
        return
    for entry in set(log):
        label = f'the record of {entry.writer} comes again'
        yield label, State((*log, entry))


def _one_winner(truth: Truth, seen: Seen) -> bool:
    bases = [
        (seen['log'][outcome.offset].base, _restores_before(seen, outcome))
        for outcome in _accepted(truth, seen)
        if outcome.record in PUBLISHERS
    ]
    return len(bases) == len(set(bases))


def _restores_before(seen: Seen, outcome: Outcome) -> int:
    """
    Tell apart settings that were never written before and after a restore.
    """
    writers = [entry.writer for entry in seen['log'][: outcome.offset]]
    return writers.count(RESTORER)


def _once(truth: Truth, seen: Seen) -> bool:
    accepted = [outcome.record for outcome in _accepted(truth, seen)]
    return len(accepted) == len(set(accepted))


def _accepted(truth: Truth, seen: Seen) -> list[Outcome]:
    log = seen['log']
    return [
        outcome
        for at in range(len(log))
        for outcome in truth(log[: at + 1]).outcomes
        if outcome.offset == at and outcome.verdict is Verdict.ACCEPTED
    ]


def _restores_seen(truth: Truth, seen: Seen) -> bool:
    accepted = _accepted(truth, seen)
    for restore in accepted:
        entry = seen['log'][restore.offset]
        if entry.writer == RESTORER and any(
            entry.read < other.offset < restore.offset for other in accepted
        ):
            return False
    return True


def _told(truth: Truth, seen: Seen) -> bool:
    tree = truth(seen['log'])
    accepted = {outcome.record for outcome in _accepted(truth, seen)}
    for name in PUBLISHERS:
        outcome = find_outcome(tree, name)
        if outcome is None:
            continue
        if outcome.verdict is Verdict.STALE:
            told_right = all(
                entry.record != name for _, entry in iter_settings(tree)
            )
        else:
            told_accepted = outcome.verdict is Verdict.ACCEPTED
            told_right = told_accepted == (name in accepted)
        if not told_right:
            return False
    return True


FOLD = Specification(name='fold', build=build, rules=FOLD_RULES)
