"""
Callers: threads that make one call after the other, with retries.
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
    Makes plans of calls: the same ones for the same seed.
    """

    def __init__(
        self, group: CallerGroup, seed: str, numbers: Callable[[], int]
    ):
        self._group = group
        self._random = random.Random(seed)
        self._numbers = numbers

    def plan(self) -> Plan:
        """
        Return the next call's plan.
        """
        group = self._group
        number = self._numbers()
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
    Carries out plans, each to its end.

    :param run: starts the caller's own part of its keys.
    """

    def __init__(self, book: AddressBook, run: str) -> None:
        self._book = book
        self._run = run
        self._connections = Connections()

    def call(self, plan: Plan) -> CallRecord:
        """
        Make a call, with retries until its deadline.
        """
        started = time.time()
        deadline = time.monotonic() + plan.deadline_s
        key = ''
        tries: list[AttemptResult] = []
        while deadline - time.monotonic() > MIN_REMAINING_S:
            addresses = self._book.current().addresses
            if not addresses:
                time.sleep(NO_ROUTER_PAUSE_S)
                continue
            if all(each.is_unsent for each in tries):
                key = self._key(plan)
            left = deadline - time.monotonic()
            last = attempt(
                AttemptRequest(plan, addresses[0], left, key), self._connections
            )
            tries.append(last)
            if last.is_complete or not self._may_retry(last, deadline):
                break
        return _make_record(plan, started, tries)

    def _key(self, plan: Plan) -> str:
        if plan.repeatable:
            return ''
        prefix = self._book.current().key_prefix
        return f'{prefix}{self._run}-{plan.number}'

    def _may_retry(self, last: AttemptResult, deadline: float) -> bool:
        if last.is_broken or last.record.code == 'leaving':
            self._book.mark_failed(last.record.router)
            time.sleep(FAILED_ROUTER_PAUSE_S)
        if last.retry_after_s is None:
            return False
        if time.monotonic() + last.retry_after_s > deadline:
            return False
        time.sleep(last.retry_after_s)
        return True


def _make_record(
    plan: Plan, started: float, attempted: Sequence[AttemptResult]
) -> CallRecord:
    tries = tuple(each.record for each in attempted)
    streamed = attempted[-1].streamed if attempted else StreamedAnswer()
    whole = bool(attempted) and attempted[-1].is_complete
    broken = (
        came for each in attempted[:-1] for came, _ in each.streamed.pieces
    )
    return CallRecord(
        plan,
        decide_outcome(plan, tries, whole=whole),
        started,
        time.time(),
        tries,
        streamed.text,
        streamed.finish,
        streamed.reported_tokens,
        streamed.pieces,
        tuple(broken),
    )


def decide_outcome(
    plan: Plan, tries: tuple[Try, ...], *, whole: bool
) -> Outcome:
    """
    Return what a caller knows after its last try.
    """
    if whole:
        return Outcome.COMPLETED
    if not tries or not tries[-1].ran:
        return Outcome.LOST
    # A key stands for all its tries, so that the last answer counts for all.
    heard = tries if plan.repeatable else tries[-1:]
    if all(each.ran == 'no' for each in heard):
        return Outcome.REFUSED_NOT_RUN
    return Outcome.UNKNOWN


class CallerPool:
    """
    All callers of a run.

    :param make_book: makes a caller's book by its number and group.
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
        self._run = f'{seed}-{time.time_ns():x}'

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """
        Return the calls that have ended.
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
                    target=self._loop, args=(group, number), daemon=True
                )
                thread.start()
                self._threads.append(thread)

    def stop(self) -> None:
        """
        Start no more calls, and wait until all have ended.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _loop(self, group: CallerGroup, number: int) -> None:
        caller = Caller(self._make_book(number, group), self._run)
        planner = Planner(
            group,
            f'{self._seed} {group.name} {number}',
            lambda: next(self._numbers),
        )
        while not self._stopping.is_set():
            self._records.append(caller.call(planner.plan()))
            self._stopping.wait(group.pause_s)
