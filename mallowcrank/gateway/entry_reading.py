"""
Applies targets' entries as encoded in the store.
"""

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.ports import DecodeFailure


class EntryReader:
    """
    Decodes entries, and adds or updates their targets.

    An entry that can't be read names no target, and leaves the others as they
    are.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._unreadable: dict[str, str] = {}

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
            self.forget(identity)
        elif self._unreadable.get(identity) != problem:
            self._unreadable[identity] = problem
            self._core.journal.say(
                'targets: unreadable entry', target=identity, why=problem
            )

    def forget(self, identity: str) -> None:
        """
        Forget an entry that is gone.
        """
        self._unreadable.pop(identity, None)

    def _apply(self, identity: str, raw: bytes, is_restored: bool) -> str:
        """
        Apply an entry.

        :returns: why it can't be read; empty if it can.
        """
        read = self._core.vocabulary.read_entry(identity, raw)
        if isinstance(read, DecodeFailure):
            return read.reason
        self._core.fleet.apply_entry(read, raw, monotonic_s(), is_restored)
        return ''
