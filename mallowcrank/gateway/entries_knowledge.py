"""
What gateways know of the targets' entries, and how old that is.

Gateways tell each other a digest of what the entries say, and how long ago they
have read the store themselves. One's read spares the others theirs as long as
their digests are the same. Without such word, each reads itself before its
knowledge is too old.
"""

from collections.abc import Callable
from math import inf, isfinite

from mallowcrank.gateway.check_schedule import CheckAges, CheckSchedule
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.entries_status import EntriesView
from mallowcrank.gateway.entry_reading import EntryReader
from mallowcrank.gateway.ports import LogPosition

# Shares of the bound for a leaving target. What remains is for the read itself
# and for another way if it fails.
MIN_AGE_SHARE = 0.3  # no read is due before this age
SPREAD_SHARE = 0.25  # of the ages at which the gateways' reads are due
LATE_CONFIRMATION_S = 4  # after which a confirmation is logged


class EntriesKnowledge:
    """
    How old this gateway's knowledge of the entries is.

    :param position: returns up to which record it knows them, if it does.
    """

    def __init__(
        self,
        core: Core,
        entries: EntryReader,
        position: Callable[[], LogPosition | None],
    ) -> None:
        self._core = core
        self._entries = entries
        self._position = position
        bound_s = core.settings.bounds.drain_s
        self._schedule = CheckSchedule(
            CheckAges(MIN_AGE_SHARE * bound_s, SPREAD_SHARE * bound_s),
            core.random,
        )
        self._verified_at = -inf
        self._heard_view: EntriesView | None = None
        self._ignored_digest: int | None = None
        self._on_newer: Callable[[], None] = _ignore

    @property
    def due_in_s(self) -> float:
        """
        Return the seconds until this gateway should read the store; 0 or less
        if it should do so now.
        """
        group_size = 1 + len(self._core.peers.live())
        confirmed_at = self._core.fleet.entries_read_at
        due_at = self._schedule.due_at(confirmed_at, group_size)
        return due_at - monotonic_s()

    def listen(self, on_newer: Callable[[], None]) -> None:
        """
        Set the callback for another gateway that knows later entries.
        """
        self._on_newer = on_newer

    def view(self) -> EntriesView | None:
        """
        Return what this gateway tells the others, if it knows the entries.
        """
        position = self._position()
        if position is None:
            return None
        age_s = monotonic_s() - self._verified_at
        return EntriesView(position, self._entries.digest, age_s)

    def hear(self, status: GatewayStatus) -> None:
        """
        Compare what another gateway knows with what this one knows.
        """
        view = status.view
        position = self._position()
        if view is None or position is None:
            return
        if self.is_behind(status):
            self._on_newer()
        elif (
            view.digest == self._entries.digest
            and view.position.era == position.era
        ):
            self._heard_view = view
            self.confirm(monotonic_s() - view.age_s, status.host)

    def is_behind(self, status: GatewayStatus) -> bool:
        """
        Return whether another gateway knows other, later entries.
        """
        position = self._position()
        entries = status.entries
        if position is None or entries is None:
            return entries is not None
        view = status.view
        if view:
            known = (self._entries.digest, self._ignored_digest)
            return view.digest not in known and view.position > position
        return entries.read_for_s > 0 and entries.position > position

    def ignore(self, view: EntriesView) -> None:
        """
        Take what another gateway knows for no later entries, until the store
        was read: its entries have not led to the same view.
        """
        self._ignored_digest = view.digest

    def skip_heartbeats(self, position: LogPosition) -> LogPosition:
        """
        Return the position from which to read on: where another gateway has
        read the same entries, or the given one.
        """
        heard = self._heard_view
        self._heard_view = None
        if heard and heard.digest == self._entries.digest:
            return max(position, heard.position)
        return position

    def verify(self, at: float) -> None:
        """
        Record that this gateway has read the store up to its end.

        :param at: steady time at which the read began, in seconds.
        """
        self._verified_at = at
        self._ignored_digest = None
        self.confirm(at, 'store')

    def adopt(self) -> None:
        """
        Record that the entries are now those of another gateway.
        """
        self._verified_at = -inf

    def confirm(self, at: float, source: str) -> None:
        """
        Record that the entries were up to date; log it after a pause.

        :param at: steady time at which they were, in seconds.
        :param source: who said so, for the log.
        """
        fleet = self._core.fleet
        age_s = at - fleet.entries_read_at
        if age_s <= 0:
            return
        fleet.entries_read_at = at
        if age_s > LATE_CONFIRMATION_S:
            era, offset = self._position() or (None, None)
            self._core.journal.say(
                'targets: confirmed after a pause',
                age_s=round(age_s, 3) if isfinite(age_s) else None,
                source=source,
                offset=offset,
                era=era,
            )


def _ignore() -> None:
    """
    Do nothing; the default until a callback is set.
    """
