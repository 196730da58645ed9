"""
The newest desired state that a gateway knows, and since when it may be older
than the operator's.
"""

from collections.abc import Callable
from math import inf, isfinite

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.desired import Desired
from mallowcrank.gateway.desired_status import DesiredMark, DesiredStatus
from mallowcrank.gateway.desired_validation import find_problem
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.ports import DecodeFailure, Vocabulary
from mallowcrank.gateway.unexpected_errors import UnexpectedErrors

LATE_CONFIRMATION_S = 5  # after which a confirmation is logged


class LatestDesired:
    """
    The newest version of the desired state; its version never decreases.
    """

    def __init__(
        self,
        vocabulary: Vocabulary,
        journal: Journal,
        errors: UnexpectedErrors,
    ) -> None:
        self._vocabulary = vocabulary
        self._errors = errors
        self._journal = journal
        self._newest: Desired | None = None
        self._era = -1
        self._confirmed_at = -inf
        self._read_at = -inf
        self._on_newer: Callable[[], None] = _ignore
        self.raw = b''

    @property
    def newest(self) -> Desired | None:
        """
        Return the newest version, if one is known.
        """
        return self._newest

    @property
    def version(self) -> int:
        """
        Return the newest version's number, or -1.
        """
        return self._newest.version if self._newest else -1

    @property
    def mark(self) -> DesiredMark:
        """
        Return which content is known.
        """
        return DesiredMark(self.version, self._era)

    @property
    def confirmed_at(self) -> float:
        """
        Return the monotonic time at which no newer version was known to the
        store, in seconds.
        """
        return self._confirmed_at

    def listen(self, on_newer: Callable[[], None]) -> None:
        """
        Set the callback for another gateway that has a newer version.
        """
        self._on_newer = on_newer

    def status(self) -> DesiredStatus | None:
        """
        Return what other gateways are told, if a version is known.
        """
        if self._newest is None:
            return None
        # Ages that others have told aren't passed on: each gateway would add
        # the time that a datagram takes, and be told so in turn.
        return DesiredStatus(self._era, monotonic_s() - self._read_at)

    def confirm_read(self) -> None:
        """
        Record that this gateway has read the store up to its end.
        """
        self._read_at = monotonic_s()
        self._confirm(self._read_at, 'store')

    def hear(self, status: GatewayStatus) -> None:
        """
        Notice a newer version of another gateway, or record how old its
        knowledge is of the same one.
        """
        if status.desired_mark > self.mark:
            self._on_newer()
        elif status.desired and status.desired_mark == self.mark:
            self._confirm(monotonic_s() - status.desired.age_s, status.host)

    def update(self, raw: bytes, source: str, era: int = -1) -> bool:
        """
        Replace the desired state, unless the version isn't newer.

        A version that the store lost may have been written again with other
        content. The store's later era decides then.

        :param raw: the encoded version.
        :param source: where it comes from, for the log.
        :param era: of the store; lower than any for other sources.
        :returns: whether it can be read and used.
        """
        if raw == self.raw:
            self._era = max(self._era, era)
            return True
        read = self._read_safely(raw)
        if isinstance(read, DecodeFailure):
            self._journal.say(
                'desired: unusable', why=read.reason, source=source
            )
            return False
        if DesiredMark(read.version, era) <= self.mark:
            return True
        age_s = monotonic_s() - self._confirmed_at
        self._era = era
        self._newest = read
        self.raw = raw
        self._journal.say(
            'desired: in force',
            version=read.version,
            source=source,
            # The version can't have been confirmed longer ago.
            age_s=round(age_s, 3) if isfinite(age_s) else None,
        )
        return True

    def _read_safely(self, raw: bytes) -> Desired | DecodeFailure:
        """
        Decode and check a version; an error that no code foresees makes it
        unusable, and doesn't end the task that reads.
        """
        try:
            return self._read(raw)
        except Exception as error:
            self._errors.record('desired state', error)
            return DecodeFailure(f'unexpected error: {type(error).__name__}')

    def _read(self, raw: bytes) -> Desired | DecodeFailure:
        read = self._vocabulary.read_desired(raw)
        if isinstance(read, DecodeFailure):
            return read
        problem = find_problem(read)
        return DecodeFailure(problem) if problem else read

    def _confirm(self, at: float, source: str) -> None:
        """
        Record that the newest version was the store's newest, too.

        :param at: monotonic time at which it was, in seconds.
        :param source: who said so, for the log.
        """
        if at <= self._confirmed_at:
            return
        age_s = at - self._confirmed_at
        self._confirmed_at = at
        if age_s > LATE_CONFIRMATION_S and isfinite(age_s):
            self._journal.say(
                'desired: confirmed after a pause',
                age_s=round(age_s, 3),
                version=self.version,
                source=source,
            )


def _ignore() -> None:
    """
    Do nothing; the default until a callback is set.
    """
