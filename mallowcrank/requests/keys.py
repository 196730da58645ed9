"""
Idempotency keys: decisions on requests whose key this router keeps.

All functions are pure; `mallowcrank.requests.idempotency_store` holds the
entries.
"""

from dataclasses import dataclass, replace
from enum import StrEnum, unique

from mallowcrank.refusals import Ran, Reason, Refused

KEY_TTL_S = 60  # from the issue of the prefix until the key expires
ANSWER_TTL_S = 120  # from the expiry of the key, for replays of its answer
MAX_EXPIRY_S = 900  # from now, by the keeper's clock
MAX_KEYS = 20_000  # entries of one router
MAX_ANSWER_BYTES = 48 * 1024 * 1024  # all stored answers of one router
KEY_FIELD = 'Idempotency-Key'


@unique
class KeyState(StrEnum):
    """
    State of a key that was started.
    """

    RUNNING = 'running'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """
    Entry of a key that was started.

    :param fingerprint: hash of the request; the same key with another
        request is refused.
    :param expiry: seconds since the epoch after which the key is not started.
    :param answer_bytes: size of the stored answer.
    """

    key: str
    fingerprint: str
    expiry: float
    state: KeyState = KeyState.RUNNING
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """
    A request to start a key, or to get the answer of its first run.

    :param now: seconds since the epoch, by the keeper's clock.
    """

    key: str
    fingerprint: str
    expiry: float
    now: float


@dataclass(frozen=True, slots=True)
class StoreUsage:
    """
    What the store holds.

    :param keys: number of entries.
    :param answer_bytes: size of all stored answers.
    """

    keys: int
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """
    The key is new; run the request.
    """

    entry: KeyEntry


@dataclass(frozen=True, slots=True)
class Join:
    """
    The request of the key is running; wait for its answer.
    """

    entry: KeyEntry


@dataclass(frozen=True, slots=True)
class Replay:
    """
    The request of the key has ended; send its answer again.
    """

    entry: KeyEntry


def decide_claim(
    entry: KeyEntry | None, claim: Claim, usage: StoreUsage
) -> Start | Join | Replay | Refused:
    """
    Decide on a request whose key this router keeps.

    :param entry: the entry of the key, if there is one.
    """
    if entry is None:
        return _claim_new(claim, usage)
    if entry.fingerprint != claim.fingerprint:
        return _refuse(
            Reason.KEY_REUSED,
            Ran.NO,
            'the key was used by another request',
        )
    if entry.state is KeyState.ANSWERED:
        return Replay(entry)
    return Join(entry)


def check_send(
    expiry: float, now: float, seconds_left: float
) -> Refused | None:
    """
    Check that neither the key nor the caller's deadline has expired.

    Call it right before the send: the process may have been paused since the
    claim.

    :returns: a refusal if the request must not be sent any more.
    """
    if now >= expiry:
        return _refuse(
            Reason.KEY_EXPIRED,
            Ran.NO,
            'the key expired before it was sent',
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
    Return the entry to keep after the request has ended.

    :param ran: whether the request ran.
    :param answer_bytes: size of its answer.
    :returns: the entry, or `None` if the request did not run, so that a retry
        may start the key.
    """
    if ran is Ran.NO:
        return None
    return replace(entry, state=KeyState.ANSWERED, answer_bytes=answer_bytes)


def is_expired(entry: KeyEntry, now: float) -> bool:
    """
    Tell whether an entry may be removed because its key can't be started any
    more.
    """
    if entry.state is KeyState.RUNNING:
        return False
    return now >= entry.expiry + ANSWER_TTL_S


def _claim_new(claim: Claim, usage: StoreUsage) -> Start | Refused:
    if claim.now >= claim.expiry + ANSWER_TTL_S:
        return _refuse(
            Reason.KEY_EXPIRED,
            Ran.UNKNOWN,
            'the key expired long ago, and what became of it is forgotten',
        )
    if claim.now >= claim.expiry:
        return _refuse(
            Reason.KEY_EXPIRED,
            Ran.NO,
            'the key expired before it was started; '
            'take a new key_prefix from /v1/addresses',
        )
    if claim.expiry > claim.now + MAX_EXPIRY_S:
        return _refuse(
            Reason.BAD_REQUEST, Ran.NO, 'the key expires too far ahead'
        )
    if usage.keys >= MAX_KEYS or usage.answer_bytes >= MAX_ANSWER_BYTES:
        return Refused(
            Reason.KEYS_FULL,
            Ran.NO,
            'this router keeps as many keys as it may; use another one',
            retry_after_s=1,
            field=KEY_FIELD,
        )
    return Start(KeyEntry(claim.key, claim.fingerprint, claim.expiry))


def _refuse(reason: Reason, ran: Ran, message: str) -> Refused:
    return Refused(reason, ran, message, field=KEY_FIELD)
