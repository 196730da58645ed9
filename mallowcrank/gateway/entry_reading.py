"""
Applies targets' entries as encoded in the store.
"""

from dataclasses import replace

import msgpack
from xxhash import xxh3_64_intdigest

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.ports import DecodeFailure
from mallowcrank.gateway.targets import Target


class EntryReader:
    """
    Decodes entries, and adds or updates their targets.

    An entry that can't be read names no target, and leaves the others as they
    are.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._targets: dict[str, Target] = {}
        self._unreadable: dict[str, str] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """
        Return a digest of what all entries say.

        It is the same at all gateways that know the same entries, and doesn't
        change when targets write theirs again.
        """
        return self._digest

    def apply(self, identity: str, raw: bytes, is_restored: bool) -> None:
        """
        Apply an entry; log one that can't be read, once for each reason.

        :param is_restored: whether the store came back from an older copy just
            now.
        """
        try:
            problem = self._apply(identity, raw, is_restored)
        except Exception as error:
            self._core.errors.record('entry', error, target=identity)
            return
        if not problem:
            self._unreadable.pop(identity, None)
            return
        self._record(identity, None)
        if self._unreadable.get(identity) != problem:
            self._unreadable[identity] = problem
            self._core.journal.say(
                'targets: unreadable entry', target=identity, why=problem
            )

    def forget(self, identity: str) -> None:
        """
        Forget an entry that is gone.
        """
        self._unreadable.pop(identity, None)
        self._record(identity, None)

    def keep_only(self, identities: set[str]) -> None:
        """
        Forget all other entries.
        """
        known = {*self._targets, *self._unreadable}
        for identity in known - identities:
            self.forget(identity)

    def _apply(self, identity: str, raw: bytes, is_restored: bool) -> str:
        """
        Apply an entry.

        :returns: why it can't be read; empty if it can.
        """
        target = self._core.vocabulary.read_entry(identity, raw)
        if isinstance(target, DecodeFailure):
            return target.reason
        self._record(identity, replace(target, writes=0))
        self._core.fleet.apply_entry(target, raw, monotonic_s(), is_restored)
        return ''

    def _record(self, identity: str, target: Target | None) -> None:
        """
        Update the digest.

        :param target: what the entry says; none if it is gone or unreadable.
        """
        before = self._targets.get(identity)
        if before == target:
            return
        # Exclusive or is independent of the order of the entries.
        if before:
            self._digest ^= _hash(before)
            self._targets.pop(identity)
        if target:
            self._digest ^= _hash(target)
            self._targets[identity] = target


def _hash(target: Target) -> int:
    held = target.layers
    return xxh3_64_intdigest(
        msgpack.packb(
            [
                *target.lifetime,
                target.service,
                str(target.address),
                target.zone,
                target.slots,
                target.leaving,
                target.kind,
                [held.first, held.end, held.version] if held else None,
            ]
        )
    )
