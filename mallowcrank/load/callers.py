"""
Callers: threads that make calls one after another, with retries.
"""

import json
import random
import threading
import time
from collections.abc import Callable, Sequence
from itertools import count

from mallowcrank.load.addresses import AddressBook
from mallowcrank.load.attempts import (
    AttemptRequest,
    AttemptResult,
    Connections,
    attempt,
)
from mallowcrank.load.records import CallKind, CallRecord, Outcome, Plan, Try
from mallowcrank.load.scenario import CallerGroup
from mallowcrank.load.sse import StreamedAnswer

PROMPT_CHARACTERS = 'abcdefghijklmnopqrstuvwxyz '
MIN_REMAINING_S = 0.05
NO_ROUTER_PAUSE_S = 0.1
FAILED_ROUTER_PAUSE_S = 0.02


class Planner:
    """
    Generates plans of calls; the same seed gives the same plans.
    """

    def __init__(
        self, group: CallerGroup, seed: str, next_number: Callable[[], int]
    ):
        self._group = group
        self._random = random.Random(seed)
        self._next_number = next_number

    def plan(self) -> Plan:
        """
        Return the plan of the next call.
        """
        group = self._group
        number = self._next_number()
        length = self._random.randint(*group.prompt_bytes)
        text = ''.join(self._random.choices(PROMPT_CHARACTERS, k=length))
        prompt = f'{group.prefix}{text}'
        if group.kind is CallKind.SERVICE:
            prompt = json.dumps({'call': number, 'about': text})
        return Plan(
            number,
            group.kind,
            group.workspace,
            group.serves,
            prompt,
            self._random.randint(*group.max_tokens),
            group.repeatable,
            group.deadline_s,
            group.priority,
            group.silence_s,
        )


class Caller:
    """
    Makes planned calls.

    :param run_id: the part of idempotency keys that is unique to the run.
    """

    def __init__(self, book: AddressBook, run_id: str) -> None:
        self._book = book
        self._run_id = run_id
        self._connections = Connections()

    def call(self, plan: Plan) -> CallRecord:
        """
        Make a call, with retries until its deadline.
        """
        started = time.time()
        deadline = time.monotonic() + plan.deadline_s
        key = ''
        results: list[AttemptResult] = []
        while deadline - time.monotonic() > MIN_REMAINING_S:
            addresses = self._book.current().addresses
            if not addresses:
                time.sleep(NO_ROUTER_PAUSE_S)
                continue
            if all(each.is_unsent for each in results):
                key = self._make_key(plan)
            remaining_s = deadline - time.monotonic()
            result = attempt(
                AttemptRequest(plan, addresses[0], remaining_s, key),
                self._connections,
            )
            results.append(result)
            if result.is_complete or not self._may_retry(result, deadline):
                break
        return _make_record(plan, started, results)

    def _make_key(self, plan: Plan) -> str:
        if plan.repeatable:
            return ''
        prefix = self._book.current().key_prefix
        return f'{prefix}{self._run_id}-{plan.number}'

    def _may_retry(self, result: AttemptResult, deadline: float) -> bool:
        if result.is_broken or result.record.code == 'leaving':
            self._book.mark_failed(result.record.router)
            time.sleep(FAILED_ROUTER_PAUSE_S)
        if result.retry_after_s is None:
            return False
        if time.monotonic() + result.retry_after_s > deadline:
            return False
        time.sleep(result.retry_after_s)
        return True


def _make_record(
    plan: Plan, started: float, results: Sequence[AttemptResult]
) -> CallRecord:
    tries = tuple(each.record for each in results)
    streamed = results[-1].streamed if results else StreamedAnswer()
    is_answered = bool(results) and results[-1].is_complete
    broken_times = (
        received
        for each in results[:-1]
        for received, _ in each.streamed.pieces
    )
    return CallRecord(
        plan,
        decide_outcome(plan, tries, is_answered=is_answered),
        started,
        time.time(),
        tries,
        streamed.text,
        streamed.finish,
        streamed.reported_tokens,
        streamed.pieces,
        tuple(broken_times),
    )


def decide_outcome(
    plan: Plan, tries: tuple[Try, ...], *, is_answered: bool
) -> Outcome:
    """
    Return the outcome of a call, as far as its caller knows.

    :param is_answered: whether the last try brought a complete answer.
    """
    if is_answered:
        return Outcome.COMPLETED
    if not tries or not tries[-1].ran:
        return Outcome.LOST
    # Tries with the same key are one request: the last answer counts for all.
    counted_tries = tries if plan.repeatable else tries[-1:]
    if all(each.ran == 'no' for each in counted_tries):
        return Outcome.REFUSED_NOT_RUN
    return Outcome.UNKNOWN


class CallerPool:
    """
    All callers of a run.

    :param make_book: makes the address book of a caller from its number and
        group.
    """

    def __init__(
        self,
        groups: tuple[CallerGroup, ...],
        seed: int,
        make_book: Callable[[int, CallerGroup], AddressBook],
    ) -> None:
        self._groups = groups
        self._seed = seed
        self._make_book = make_book
        self._records: list[CallRecord] = []
        self._threads: list[threading.Thread] = []
        self._stopping = threading.Event()
        self._numbers = count(1)
        self._run_id = f'{seed}-{time.time_ns():x}'

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """
        Return the records of calls that have ended.
        """
        return tuple(self._records)

    def start(self) -> None:
        """
        Start all callers.
        """
        number = 0
        for group in self._groups:
            for _ in range(group.callers):
                number += 1
                thread = threading.Thread(
                    target=self._run_caller, args=(group, number), daemon=True
                )
                thread.start()
                self._threads.append(thread)

    def stop(self) -> None:
        """
        Start no more calls, and wait until the running ones have ended.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, group: CallerGroup, number: int) -> None:
        caller = Caller(self._make_book(number, group), self._run_id)
        planner = Planner(
            group,
            f'{self._seed} {group.name} {number}',
            lambda: next(self._numbers),
        )
        while not self._stopping.is_set():
            self._records.append(caller.call(planner.plan()))
            self._stopping.wait(group.pause_s)
