"""
Stores this router's idempotency keys and their answers.
"""

from concurrent.futures import Future
from dataclasses import dataclass, field
from itertools import islice

from pykka import ThreadingActor

from mallowcrank.actors import keep_running
from mallowcrank.logs import PartLog
from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.keys import (
    Claim,
    Join,
    KeyEntry,
    Replay,
    Start,
    StoreUsage,
    decide_claim,
    finish,
    is_expired,
)

KEYS_PER_SWEEP = 8  # entries checked for expiry on each claim
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """
    A complete HTTP answer, as it was sent.

    :param ran: whether the request ran.
    """

    status: int
    headers: Headers
    body: bytes
    ran: Ran

    @property
    def size(self) -> int:
        """
        Return the size of headers and body in bytes.
        """
        names = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + names


@dataclass(frozen=True, slots=True)
class FinishKey:
    """
    Message: the request of a key has ended.
    """

    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class InProgress:
    """
    Reply to a claim of a key whose request is running.

    :param answer: completed when the request has ended.
    """

    answer: 'Future[Answer]'


@dataclass
class StoredEntry:
    """
    Entry of a key, with its answer once the request has ended.
    """

    entry: KeyEntry
    answer: 'Future[Answer]' = field(default_factory=Future)


ClaimReply = Start | InProgress | Answer | Refused

log = PartLog('request')


class IdempotencyStore(ThreadingActor):
    """
    Actor that decides on claims one at a time.
    """

    use_daemon_thread = True

    def __init__(self) -> None:
        super().__init__()
        self._entries: dict[str, StoredEntry] = {}
        self._answer_bytes = 0

    def on_receive(self, message: Claim | FinishKey) -> ClaimReply | None:
        """
        Handle a claim, or the end of a request.
        """
        if isinstance(message, FinishKey):
            return self._finish(message)
        return self._claim(message)

    def _claim(self, claim: Claim) -> ClaimReply:
        self._sweep(claim.now)
        stored = self._entries.get(claim.key)
        usage = StoreUsage(len(self._entries), self._answer_bytes)
        decision = decide_claim(stored.entry if stored else None, claim, usage)
        if isinstance(decision, Start):
            self._entries[claim.key] = StoredEntry(decision.entry)
            return decision
        if stored and isinstance(decision, Replay):
            return stored.answer.result()
        if stored and isinstance(decision, Join):
            return InProgress(stored.answer)
        return decision

    @keep_running(log)
    def _finish(self, message: FinishKey) -> None:
        stored = self._entries.get(message.key)
        if stored is None or stored.answer.done():
            return
        stored.answer.set_result(message.answer)
        answer = message.answer
        entry = finish(stored.entry, answer.ran, answer.size)
        if entry is None:
            self._entries.pop(message.key)
            return
        stored.entry = entry
        self._answer_bytes += entry.answer_bytes

    def _sweep(self, now: float) -> None:
        """
        Remove expired entries among the oldest ones, and move the others to
        the end of the queue.
        """
        for key in tuple(islice(self._entries, KEYS_PER_SWEEP)):
            stored = self._entries.pop(key)
            if is_expired(stored.entry, now):
                self._answer_bytes -= stored.entry.answer_bytes
            else:
                self._entries[key] = stored
