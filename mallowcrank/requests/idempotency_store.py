"""
Holds this router's keys and their answers.
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

KEYS_PER_SWEEP = (
    8  # entries looked at for each claim, to drop those that are over
)
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """
    A whole answer, as it was given.

    :param ran: what is known to have run.
    """

    status: int
    headers: Headers
    body: bytes
    ran: Ran

    @property
    def size(self) -> int:
        """
        Return its size in bytes.
        """
        names = sum(len(name) + len(given) for name, given in self.headers)
        return len(self.body) + names


@dataclass(frozen=True, slots=True)
class FinishKey:
    """
    The request of a key has ended.
    """

    key: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class InProgress:
    """
    The reply to a claim of a key that runs already.

    :param answer: set when the request has ended.
    """

    answer: 'Future[Answer]'


@dataclass
class StoredEntry:
    """
    A key's entry, and its answer once there is one.
    """

    entry: KeyEntry
    answer: 'Future[Answer]' = field(default_factory=Future)


ClaimReply = Start | InProgress | Answer | Refused

log = PartLog('request')


class IdempotencyStore(ThreadingActor):
    """
    Decides one claim after the other.
    """

    use_daemon_thread = True

    def __init__(self) -> None:
        super().__init__()
        self._entries: dict[str, StoredEntry] = {}
        self._answer_bytes = 0

    def on_receive(self, message: Claim | FinishKey) -> ClaimReply | None:
        """
        Take a claim, or the end of a request.
        """
        if isinstance(message, FinishKey):
            return self._finish(message)
        return self._claim(message)

    def _claim(self, wanted: Claim) -> ClaimReply:
        self._sweep(wanted.now)
        kept = self._entries.get(wanted.key)
        room = StoreUsage(len(self._entries), self._answer_bytes)
        decision = decide_claim(kept.entry if kept else None, wanted, room)
        if isinstance(decision, Start):
            self._entries[wanted.key] = StoredEntry(decision.entry)
            return decision
        if kept and isinstance(decision, Replay):
            return kept.answer.result()
        if kept and isinstance(decision, Join):
            return InProgress(kept.answer)
        return decision

    @keep_running(log)
    def _finish(self, message: FinishKey) -> None:
        kept = self._entries.get(message.key)
        if kept is None or kept.answer.done():
            return
        kept.answer.set_result(message.answer)
        answer = message.answer
        entry = finish(kept.entry, answer.ran, answer.size)
        if entry is None:
            self._entries.pop(message.key)
            return
        kept.entry = entry
        self._answer_bytes += entry.answer_bytes

    def _sweep(self, now: float) -> None:
        """
        Look at the oldest entries, and put those that stay behind the others.
        """
        for key in tuple(islice(self._entries, KEYS_PER_SWEEP)):
            kept = self._entries.pop(key)
            if is_expired(kept.entry, now):
                self._answer_bytes -= kept.entry.answer_bytes
            else:
                self._entries[key] = kept
