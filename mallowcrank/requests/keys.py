"""
Idempotency keys: what becomes of a request with a key that this router keeps.

All functions are pure; `mallowcrank.requests.idempotency_store` holds the entries.
"""

from dataclasses import dataclass, replace
from enum import StrEnum, unique

from mallowcrank.refusals import Ran, Reason, Refused

KEY_TTL_S = 60  # a key may be started for so long after its prefix was given
ANSWER_TTL_S = 120  # an answer is given again for so long after the expiry
MAX_EXPIRY_S = 900  # ahead of the keeper's clock
MAX_KEYS = 20_000  # entries held by one router
MAX_ANSWER_BYTES = 48 * 1024 * 1024  # of all kept answers together
KEY_FIELD = 'Idempotency-Key'


@unique
class KeyState(StrEnum):
    """
    What became of a key so far.
    """

    RUNNING = 'running'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """
    A key that was started.

    :param fingerprint: hash of the request; the same key with another
        request is refused.
    :param expiry: seconds since the epoch after which it is not started.
    :param size: bytes of the kept answer.
    """

    key: str
    fingerprint: str
    expiry: float
    state: KeyState = KeyState.RUNNING
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """
    A request that wants to start or repeat a key.

    :param now: seconds since the epoch, by the keeper's clock.
    """

    key: str
    fingerprint: str
    expiry: float
    now: float


@dataclass(frozen=True, slots=True)
class StoreUsage:
    """
    What the keeper holds.

    :param size: bytes of all kept answers.
    """

    keys: int
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """
    The key is new: run the request.
    """

    entry: KeyEntry


@dataclass(frozen=True, slots=True)
class Join:
    """
    The key runs already: wait for its answer.
    """

    entry: KeyEntry


@dataclass(frozen=True, slots=True)
class Replay:
    """
    The key was answered: give the answer again.
    """

    entry: KeyEntry


def decide_claim(
    entry: KeyEntry | None, claim: Claim, usage: StoreUsage
) -> Start | Join | Replay | Refused:
    """
    Decide what becomes of a request whose key this router keeps.

    :param entry: what is held of the key.
    """
    if entry is None:
        return _claim_new(claim, usage)
    if entry.fingerprint != claim.fingerprint:
        return _refuse(
            Reason.KEY_REUSED, Ran.NO, 'the key was used by another request'
        )
    if entry.state is KeyState.ANSWERED:
        return Replay(entry)
    return Join(entry)


def check_send(
    expiry: float, now: float, seconds_left: float
) -> Refused | None:
    """
    Check right before the send that neither the key nor the caller's deadline
    is past: the process may have been paused since the claim.
    """
    if now >= expiry:
        return _refuse(
            Reason.KEY_EXPIRED, Ran.NO, 'the key expired before it was sent'
        )
    if seconds_left <= 0:
        return Refused(
            Reason.DEADLINE_PASSED,
            Ran.NO,
            'the deadline passed before the send',
        )
    return None


def finish(entry: KeyEntry, ran: Ran, answer_bytes: int) -> KeyEntry | None:
    """
    Return what is held after the request has ended.

    :param ran: what is known to have run.
    :param size: bytes of its answer.
    :returns: the entry, or `None` where nothing ran, so that a retry may
        start the key.
    """
    if ran is Ran.NO:
        return None
    return replace(entry, state=KeyState.ANSWERED, answer_bytes=answer_bytes)


def is_expired(entry: KeyEntry, now: float) -> bool:
    """
    Tell whether an entry may be dropped: the key can't be started any more.
    """
    if entry.state is KeyState.RUNNING:
        return False
    return now >= entry.expiry + ANSWER_TTL_S


def _claim_new(wanted: Claim, room: StoreUsage) -> Start | Refused:
    if wanted.now >= wanted.expiry + ANSWER_TTL_S:
        return _refuse(
            Reason.KEY_EXPIRED,
            Ran.UNKNOWN,
            'the key expired long ago, and what became of it is forgotten',
        )
    if wanted.now >= wanted.expiry:
        return _refuse(
            Reason.KEY_EXPIRED,
            Ran.NO,
            'the key expired before it was started; '
            'take a new key_prefix from /v1/addresses',
        )
    if wanted.expiry > wanted.now + MAX_EXPIRY_S:
        return _refuse(
            Reason.BAD_REQUEST, Ran.NO, 'the key expires too far ahead'
        )
    if room.keys >= MAX_KEYS or room.answer_bytes >= MAX_ANSWER_BYTES:
        return Refused(
            Reason.KEYS_FULL,
            Ran.NO,
            'this router keeps as many keys as it may; use another one',
            retry_after_s=1,
            field=KEY_FIELD,
        )
    return Start(KeyEntry(wanted.key, wanted.fingerprint, wanted.expiry))


def _refuse(reason: Reason, ran: Ran, message: str) -> Refused:
    return Refused(reason, ran, message, field=KEY_FIELD)
