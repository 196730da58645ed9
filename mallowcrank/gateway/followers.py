"""
Following the desired state and the targets' entries in the store.
"""

import asyncio
from http import HTTPStatus
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.desired import Desired
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.ports import (
    DecodeFailure,
    NewestPage,
    StoreRecord,
    Vocabulary,
)
from mallowcrank.gateway.store_client import (
    StoreClient,
    StoreFailure,
    StoreResponse,
)

DESIRED_WAIT_S = 10  # of a read for a newer desired state
DESIRED_PAUSE_S = 0.4  # between reads, when versions come in quick succession
TARGETS_PERIOD_S = 1.0  # between reads; a leaving target is bound to 2 s
FIRST_PAUSE_S = 0.2  # after a failed call; then it doubles
LONGEST_PAUSE_S = 1.5
# After an outage, entries that lapsed meanwhile may come back; what is removed
# later is gone.
UNSURE_S = 1.5


class Pauses:
    """
    Growing pauses after failed calls, spread so that hosts don't go in step.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next = FIRST_PAUSE_S

    def clear(self) -> None:
        """
        Begin anew after a call that went well.
        """
        self._next = FIRST_PAUSE_S

    async def wait(self) -> None:
        """
        Wait before the next call.
        """
        pause = self._next * (0.5 + self._random.random())
        self._next = min(LONGEST_PAUSE_S, self._next * 2)
        await asyncio.sleep(pause)


class KnownDesired:
    """
    The desired state in force; it never goes back.
    """

    def __init__(self, vocabulary: Vocabulary, journal: Journal) -> None:
        self._vocabulary = vocabulary
        self._journal = journal
        self._newest: Desired | None = None
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
        Return its version, or -1.
        """
        return self._newest.version if self._newest else -1

    def take(self, raw: bytes, source: str) -> None:
        """
        Take in a version, unless a newer one is known.
        """
        if raw == self.raw:
            return
        read = self._vocabulary.read_desired(raw)
        if isinstance(read, DecodeFailure):
            self._journal.say('desired: unreadable', why=read.reason)
            return
        if read.version <= self.version:
            return
        self._newest = read
        self.raw = raw
        self._journal.say(
            'desired: in force', version=read.version, source=source
        )


class _TopicFollower:
    """
    Follows the records of a topic, from the newest of each key on.
    """

    def __init__(
        self, link: StoreClient, vocabulary: Vocabulary, random: Random
    ) -> None:
        self._link = link
        self._calls = vocabulary.store
        self._pauses = Pauses(random)
        self._next = -1

    async def step(self) -> bool:
        """
        Read once.

        :returns: whether the store answered.
        """
        if self._next >= 0:
            return await self._read()
        return await self._read_newest()

    async def _read(self) -> bool:
        raise NotImplementedError

    async def _read_newest(self) -> bool:
        raise NotImplementedError

    def _take(self, records: tuple[StoreRecord, ...]) -> None:
        raise NotImplementedError

    def _follow(self, answer: StoreResponse | StoreFailure) -> bool:
        """
        Take in the answer to a read.
        """
        if not isinstance(answer, StoreResponse):
            return False
        if answer.status == HTTPStatus.GONE:
            # The records were dropped: begin with the newest of each key.
            self._next = -1
            return True
        page = self._calls.decode_slice(answer.body, self._next)
        if answer.status != HTTPStatus.OK or isinstance(page, DecodeFailure):
            return False
        self._take(page.records)
        self._next += len(page.records)
        return True

    async def _newest_page(
        self, name: str, topic: str, after: str
    ) -> NewestPage | None:
        answer = await self._link.call(name, self._calls.newest(topic, after))
        if not isinstance(answer, StoreResponse):
            return None
        page = self._calls.decode_newest(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(page, DecodeFailure):
            return None
        return page


class DesiredFollower(_TopicFollower):
    """
    Reads the desired state as it changes.
    """

    def __init__(
        self,
        known: KnownDesired,
        link: StoreClient,
        vocabulary: Vocabulary,
        random: Random,
    ) -> None:
        super().__init__(link, vocabulary, random)
        self._known = known
        self._reading: asyncio.Task[bool] | None = None

    def hurry(self) -> None:
        """
        Read at once: another gateway knows a newer version.
        """
        if self._reading:
            self._reading.cancel()

    async def run(self) -> None:
        """
        Follow for good.
        """
        while True:
            self._reading = asyncio.create_task(self.step())
            await asyncio.wait((self._reading,))
            went_well = not self._reading.cancelled() and (
                self._reading.result()
            )
            self._reading = None
            if went_well:
                self._pauses.clear()
                await asyncio.sleep(DESIRED_PAUSE_S)
            else:
                await self._pauses.wait()

    async def _read_newest(self) -> bool:
        topic = self._calls.desired_topic
        page = await self._newest_page('desired-newest', topic, '')
        if page is None:
            return False
        self._take(page.records)
        self._next = page.end
        return True

    async def _read(self) -> bool:
        call = self._calls.read(
            self._calls.desired_topic, self._next, DESIRED_WAIT_S * 1000
        )
        answer = await self._link.call('desired-read', call, DESIRED_WAIT_S)
        return self._follow(answer)

    def _take(self, records: tuple[StoreRecord, ...]) -> None:
        # Older versions in between are never in force here.
        for record in reversed(records):
            if record.key == self._calls.desired_key and record.content:
                self._known.take(record.content, 'store')
                return


class TargetsFollower(_TopicFollower):
    """
    Reads the targets' entries.
    """

    def __init__(
        self,
        fleet: Fleet,
        link: StoreClient,
        vocabulary: Vocabulary,
        random: Random,
    ) -> None:
        super().__init__(link, vocabulary, random)
        self._fleet = fleet
        self._vocabulary = vocabulary
        self._random = random

    @property
    def is_informed(self) -> bool:
        """
        Return whether the entries were read at least once.
        """
        return self._next >= 0

    async def run(self) -> None:
        """
        Follow for good.
        """
        while True:
            went_well = await self.step()
            if went_well:
                self._pauses.clear()
                spread = 0.9 + 0.2 * self._random.random()
                await asyncio.sleep(TARGETS_PERIOD_S * spread)
            else:
                await self._pauses.wait()

    def take_raw(self, identity: str, raw: bytes) -> None:
        """
        Take in an entry as it lies in the store.
        """
        read = self._vocabulary.read_entry(identity, raw)
        if not isinstance(read, DecodeFailure):
            self._fleet.take_entry(read, raw, monotonic_s())

    async def _read_newest(self) -> bool:
        topic = self._calls.targets_topic
        records: list[StoreRecord] = []
        after = ''
        while True:
            page = await self._newest_page('targets-newest', topic, after)
            if page is None:
                return False
            records.extend(page.records)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._take(tuple(records))
        kept = [each.key for each in records]
        self._fleet.take_all(kept, monotonic_s())
        self._next = page.end
        return True

    async def _read(self) -> bool:
        call = self._calls.read(self._calls.targets_topic, self._next, 0)
        answer = await self._link.call('targets-read', call)
        return self._follow(answer)

    def _take(self, records: tuple[StoreRecord, ...]) -> None:
        newest = {record.key: record for record in records}
        for record in newest.values():
            if record.content is None:
                self._fleet.take_removal(
                    record.key, monotonic_s(), self._is_sure()
                )
            else:
                self.take_raw(record.key, record.content)

    def _is_sure(self) -> bool:
        return monotonic_s() - self._link.recovered_at > UNSURE_S
