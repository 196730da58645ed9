"""
The facts known to one agent, with digests for comparisons.
"""

from collections.abc import Iterator
from typing import Any

import msgpack
from xxhash import xxh64_intdigest

from mallowcrank.membership.expiry import expires_at, is_in_digest
from mallowcrank.membership.facts import Fact
from mallowcrank.membership.hashing import hash_name
from mallowcrank.membership.keys import Key, key_of
from mallowcrank.membership.ranks import is_newer
from mallowcrank.membership.rows import write_row

DIGEST_BUCKETS = 256


class FactStore:
    """
    Keeps the newest fact of each key.

    A digest is the exclusive or of its facts' hashes, so that each fact
    updates it at a constant cost.
    """

    def __init__(self) -> None:
        self._facts: dict[str, dict[Key, Fact]] = {}
        self._buckets = [0 for _ in range(DIGEST_BUCKETS)]
        self._root = 0

    @property
    def root(self) -> int:
        """
        Return the digest of all facts that digests cover.
        """
        return self._root

    @property
    def digest(self) -> tuple[int, ...]:
        """
        Return the digest of each bucket.
        """
        return tuple(self._buckets)

    def get(self, key: Key) -> Any:
        """
        Return the newest fact of a key, or `None`.
        """
        return self._facts.get(key[0], {}).get(key)

    def of_kind(self, tag: str) -> tuple[Any, ...]:
        """
        Return all facts of a kind.

        :param tag: the first part of their keys.
        """
        return tuple(self._facts.get(tag, {}).values())

    def count(self, tag: str) -> int:
        """
        Return the number of facts of a kind.

        :param tag: the first part of their keys.
        """
        return len(self._facts.get(tag, {}))

    def facts_differing_from(self, digest: tuple[int, ...]) -> Iterator[Fact]:
        """
        Yield the facts in buckets that differ from a peer's digest.
        """
        differing = {
            index
            for index, (own_hash, peer_hash) in enumerate(
                zip(self._buckets, digest, strict=True)
            )
            if own_hash != peer_hash
        }
        for facts in self._facts.values():
            for key, fact in facts.items():
                if is_in_digest(fact) and _bucket_of(key) in differing:
                    yield fact

    def merge(self, fact: Fact, wall: float) -> bool:
        """
        Store a fact if it is new and has not expired.

        :param wall: seconds since the epoch.
        :returns: whether the fact was stored.
        """
        if expires_at(fact) <= wall:
            return False
        key = key_of(fact)
        current = self.get(key)
        if not is_newer(fact, current):
            return False
        self._toggle_hash(key, current)
        self._toggle_hash(key, fact)
        self._facts.setdefault(key[0], {})[key] = fact
        return True

    def remove_expired(self, wall: float) -> tuple[Fact, ...]:
        """
        Remove the expired facts, and return them.

        :param wall: seconds since the epoch.
        """
        expired = [
            fact
            for facts in self._facts.values()
            for fact in facts.values()
            if expires_at(fact) <= wall
        ]
        for fact in expired:
            key = key_of(fact)
            self._toggle_hash(key, fact)
            self._facts[key[0]].pop(key)
        return tuple(expired)

    def _toggle_hash(self, key: Key, fact: Fact | None) -> None:
        if fact is None or not is_in_digest(fact):
            return
        fact_hash = xxh64_intdigest(msgpack.packb(write_row(fact)))
        self._buckets[_bucket_of(key)] ^= fact_hash
        self._root ^= fact_hash


def _bucket_of(key: Key) -> int:
    return hash_name('/'.join(key)) % DIGEST_BUCKETS
