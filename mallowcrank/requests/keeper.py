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
    Room,
    Start,
    claim,
    finish,
    is_over,
)

SWEEP_KEYS = 8  # entries looked at for each claim, to drop those that are over
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
class Running:
    """
    The reply to a claim of a key that runs already.

    :param answer: set when the request has ended.
    """

    answer: 'Future[Answer]'


@dataclass
class Kept:
    """
    A key's entry, and its answer once there is one.
    """

    entry: KeyEntry
    answer: 'Future[Answer]' = field(default_factory=Future)


ClaimReply = Start | Running | Answer | Refused

log = PartLog('request')


class KeyKeeper(ThreadingActor):
    """
    Decides one claim after the other.
    """

    use_daemon_thread = True

    def __init__(self) -> None:
        super().__init__()
        self._kept: dict[str, Kept] = {}
        self._size = 0

    def on_receive(self, message: Claim | FinishKey) -> ClaimReply | None:
        """
        Take a claim, or the end of a request.
        """
        if isinstance(message, FinishKey):
            return self._finish(message)
        return self._claim(message)

    def _claim(self, wanted: Claim) -> ClaimReply:
        self._sweep(wanted.now)
        kept = self._kept.get(wanted.key)
        room = Room(len(self._kept), self._size)
        decision = claim(kept.entry if kept else None, wanted, room)
        if isinstance(decision, Start):
            self._kept[wanted.key] = Kept(decision.entry)
            return decision
        if kept and isinstance(decision, Replay):
            return kept.answer.result()
        if kept and isinstance(decision, Join):
            return Running(kept.answer)
        return decision

    @keep_running(log)
    def _finish(self, message: FinishKey) -> None:
        kept = self._kept.get(message.key)
        if kept is None or kept.answer.done():
            return
        kept.answer.set_result(message.answer)
        answer = message.answer
        entry = finish(kept.entry, answer.ran, answer.size)
        if entry is None:
            self._kept.pop(message.key)
            return
        kept.entry = entry
        self._size += entry.size

    def _sweep(self, now: float) -> None:
        """
        Look at the oldest entries, and put those that stay behind the others.
        """
        for key in tuple(islice(self._kept, SWEEP_KEYS)):
            kept = self._kept.pop(key)
            if is_over(kept.entry, now):
                self._size -= kept.entry.size
            else:
                self._kept[key] = kept
