"""
Followers of topics in the store, and that of the desired state.
"""

import asyncio
from http import HTTPStatus
from math import inf
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.ports import (
    DecodeFailure,
    LogPosition,
    NewestPage,
    StoreRecord,
    Vocabulary,
)
from mallowcrank.gateway.store_client import (
    StoreClient,
    StoreFailure,
    StoreResponse,
)

DESIRED_WAIT_S = 28  # of a long poll for a newer desired state
MAX_SEARCH_RECORDS = 64  # before one that can't be read
SEARCH_FACTOR = 8
DESIRED_PAUSE_S = 0.4  # between reads, when versions come in quick succession
MIN_BACKOFF_S = 0.2  # doubles with each failed call
MAX_BACKOFF_S = 1.5


class Backoff:
    """
    Exponential backoff with jitter, so that hosts don't retry in step.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next_pause_s = MIN_BACKOFF_S

    def reset(self) -> None:
        """
        Start again from the shortest pause, after a successful call.
        """
        self._next_pause_s = MIN_BACKOFF_S

    def next_pause_s(self) -> float:
        """
        Return the seconds to wait before the next call, and lengthen the next
        pause.
        """
        pause_s = self._next_pause_s * (0.5 + self._random.random())
        self._next_pause_s = min(MAX_BACKOFF_S, self._next_pause_s * 2)
        return pause_s

    async def wait(self) -> None:
        """
        Wait before the next call.
        """
        await asyncio.sleep(self.next_pause_s())


class TopicFollower:
    """
    Follows the records of a topic, starting with the newest of each key.
    """

    _topic: str

    def __init__(
        self,
        link: StoreClient,
        vocabulary: Vocabulary,
        random: Random,
        journal: Journal,
    ) -> None:
        self._link = link
        self._journal = journal
        self._store_calls = vocabulary.store
        self._backoff = Backoff(random)
        self._position: LogPosition | None = None
        self._woken = asyncio.Event()

    @property
    def position(self) -> LogPosition | None:
        """
        Return the position of the next record, once the topic was read.
        """
        return self._position

    def wake(self) -> None:
        """
        End the pause before the next read.
        """
        self._woken.set()

    async def step(self) -> bool:
        """
        Read once.

        :returns: whether the read succeeded.
        """
        if self._position and self._position.era < self._link.era:
            # A read would wait for records after those that were lost.
            self._begin_anew(self._link.era)
        if self._position and not await self._read(self._position):
            return False
        return self._position is not None or await self._read_newest()

    async def _read(self, position: LogPosition) -> bool:
        raise NotImplementedError

    async def _read_newest(self) -> bool:
        raise NotImplementedError

    def _apply(self, records: tuple[StoreRecord, ...], era: int) -> bool:
        """
        Apply records.

        :returns: whether what they say could be read.
        """
        raise NotImplementedError

    async def _pause(self, seconds: float) -> bool:
        """
        Wait for a time, or until woken.

        :returns: whether it was woken.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._woken.wait()
        except TimeoutError:
            return False
        finally:
            self._woken.clear()
        return True

    def _apply_answer(
        self, answer: StoreResponse | StoreFailure, position: LogPosition
    ) -> bool:
        """
        Apply the answer to a read.

        :param position: at which the read began.
        :returns: whether the read succeeded.
        """
        if not isinstance(answer, StoreResponse):
            return False
        if position != self._position:
            # Another gateway's view was adopted meanwhile.
            return True
        if answer.era != position.era or answer.status == HTTPStatus.GONE:
            # The records of the position were lost or deleted.
            self._begin_anew(answer.era)
            return True
        page = self._store_calls.decode_slice(answer.body, position.offset)
        if answer.status != HTTPStatus.OK or isinstance(page, DecodeFailure):
            return False
        self._apply(page.records, answer.era)
        read_up_to = position.offset + len(page.records)
        self._position = LogPosition(answer.era, read_up_to)
        if read_up_to >= page.end:
            self._handle_end()
        else:
            self._handle_rest()
        return True

    def _handle_end(self) -> None:
        """
        Record that the topic was read up to its end.
        """

    def _handle_rest(self) -> None:
        """
        Read further records without a pause.
        """
        self.wake()

    def _begin_anew(self, era: int) -> None:
        self._journal.say(
            'store: topic read anew',
            topic=self._topic,
            position=self._position,
            era=era,
        )
        self._position = None

    async def _newest_page(
        self, name: str, after: str
    ) -> tuple[NewestPage, int] | None:
        """
        Read a page, and the era that it is of.
        """
        answer = await self._link.call(
            name, self._store_calls.newest(self._topic, after)
        )
        if not isinstance(answer, StoreResponse):
            return None
        page = self._store_calls.decode_newest(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(page, DecodeFailure):
            return None
        return page, answer.era


class DesiredFollower(TopicFollower):
    """
    Reads the desired state as it changes.
    """

    def __init__(
        self,
        known: LatestDesired,
        link: StoreClient,
        vocabulary: Vocabulary,
        random: Random,
        journal: Journal,
    ) -> None:
        super().__init__(link, vocabulary, random, journal)
        self._topic = self._store_calls.desired_topic
        self._known = known
        self._current_read: asyncio.Task[bool] | None = None
        self._read_began_at = -inf

    async def run(self) -> None:
        """
        Follow the topic until cancelled.
        """
        while True:
            self._read_began_at = monotonic_s()
            self._current_read = asyncio.create_task(self.step())
            try:
                await asyncio.wait((self._current_read,))
            finally:
                self._current_read.cancel()
            if self._current_read.cancelled():
                continue
            if self._current_read.result():
                self._backoff.reset()
                await self._pause(DESIRED_PAUSE_S)
            else:
                await self._pause(self._backoff.next_pause_s())

    async def check(self) -> bool:
        """
        Read once without waiting, beside the read that waits for a change.

        :returns: whether the read succeeded.
        """
        position = self._position
        if position and position.era < self._link.era:
            self._restart()
            position = None
        if position is None:
            self.wake()
            return False
        call = self._store_calls.read(self._topic, position.offset, 0)
        answer = await self._link.call('desired-check', call)
        if self._position != position:
            # The read that waits was answered meanwhile.
            return True
        if not self._apply_answer(answer, position):
            return False
        has_moved = self._position != position
        if has_moved or self._read_began_at < self._link.recovered_at:
            # The read that waits has missed the change, or may have been lost.
            self._restart()
        return True

    def _handle_end(self) -> None:
        self._known.confirm_read()

    def _handle_rest(self) -> None:
        # The newest version is a page; those in between may be megabytes.
        self._position = None
        self.wake()

    def _restart(self) -> None:
        """
        Begin the read anew that waits for a change.
        """
        self.wake()
        if self._current_read:
            self._current_read.cancel()

    async def _read_newest(self) -> bool:
        found = await self._newest_page('desired-newest', '')
        if found is None:
            return False
        page, era = found
        is_usable = self._apply(page.records, era)
        if not is_usable and not await self._search_back(page.records, era):
            return False
        self._position = LogPosition(era, page.end)
        self._known.confirm_read()
        return True

    async def _search_back(
        self, newest: tuple[StoreRecord, ...], era: int
    ) -> bool:
        """
        Look in the log for the last version before one that can't be used.

        :returns: whether the log was read, as far as it goes back.
        """
        offsets = (
            record.offset
            for record in newest
            if record.key == self._store_calls.desired_key
        )
        end = next(offsets, 0)
        distance = 1
        while distance <= MAX_SEARCH_RECORDS:
            start = max(0, end - distance)
            answer = await self._link.call(
                'desired-search', self._store_calls.read(self._topic, start, 0)
            )
            if not isinstance(answer, StoreResponse) or answer.era != era:
                return False
            page = self._store_calls.decode_slice(answer.body, start)
            if answer.status != HTTPStatus.OK or isinstance(
                page, DecodeFailure
            ):
                return answer.status == HTTPStatus.GONE
            if self._apply(page.records, era):
                return True
            distance *= SEARCH_FACTOR
        return True

    async def _read(self, position: LogPosition) -> bool:
        call = self._store_calls.read(
            self._topic, position.offset, DESIRED_WAIT_S * 1000
        )
        sent_at = monotonic_s()
        answer = await self._link.call('desired-read', call, DESIRED_WAIT_S)
        has_succeeded = self._apply_answer(answer, position)
        if not has_succeeded:
            self._journal.say(
                'desired: read failed',
                waited_s=round(monotonic_s() - sent_at, 3),
                why=_reason_of(answer),
            )
        return has_succeeded

    def _apply(self, records: tuple[StoreRecord, ...], era: int) -> bool:
        """
        Apply the newest version that can be read.

        :returns: whether there is one, or none that can't be read.
        """
        versions = [
            record.content
            for record in reversed(records)
            if record.key == self._store_calls.desired_key and record.content
        ]
        return not versions or any(
            self._known.update(raw, 'store', era) for raw in versions
        )


def _reason_of(answer: StoreResponse | StoreFailure) -> str:
    """
    Return why an answer can't be used.
    """
    if isinstance(answer, StoreFailure):
        return answer.reason
    return str(answer.status)
