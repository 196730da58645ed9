"""
The ports through which a gateway meets the platform that it runs on.

A binding gives names, formats and calls; it holds no state and decides
nothing.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from mallowcrank.findings import Finding
from mallowcrank.gateway.desired import Desired
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.targets import HeldLayers, Report, Target

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpCall:
    """
    One HTTP request to the store or to a target.

    :param path: path and query.
    """

    method: str
    path: str
    body: bytes = b''
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class CallerFields:
    """
    What a caller's headers say.

    :param request: the request's id, as text.
    :param deadline_ms: none where none was sent, or where it is bad.
    :param key: the caller's key.
    :param last_event: the event after which a stream goes on.
    :param prompt_tokens: 0 where unknown.
    :param output_tokens: the most that may be generated.
    :param output_estimate: the caller's estimate of them, 0 where unknown.
    :param problem: what is wrong with the headers, if anything.
    """

    request_id: str
    deadline_ms: float | None
    key: str
    last_event: str
    prompt_tokens: int
    output_tokens: int
    output_estimate: int
    problem: str = ''


@dataclass(frozen=True, slots=True)
class Hop:
    """
    One target's part of a path; the end is exclusive.
    """

    address: Address
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """
    What a gateway adds to a request that it sends to a target.

    :param hops: the path over engines, empty for a plain service.
    """

    target: str
    remaining_ms: int
    workspace: str
    hops: tuple[Hop, ...] = ()
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """
    What a target's headers say.

    :param request: the id of the request that it answers.
    :param is_genuine: whether it bears the target's seal, and its body is
        not encoded on the way.
    :param did_not_run: whether the target vouches for that.
    :param at: the target at fault, as `IP:PORT`, if it is named.
    """

    request_id: str
    is_genuine: bool
    did_not_run: bool
    fault_address: str


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """
    The newest record of a key.

    :param content: none where the key was dropped.
    """

    key: str
    content: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """
    A page of the newest records of a topic's keys.
    """

    records: tuple[StoreRecord, ...]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class LogSlice:
    """
    Records of a topic from an offset on.
    """

    records: tuple[StoreRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Membership:
    """
    The answer to joining a group.

    :param owned: topics and partitions that the member holds.
    """

    generation: int
    owned: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class DecodeFailure:
    """
    Bytes that could not be decoded.

    :param reason: what is wrong with them.
    """

    reason: str


class StoreCalls(Protocol):
    """
    Calls to the platform's store, and their answers.
    """

    desired_topic: str
    desired_key: str
    targets_topic: str

    def newest(self, topic: str, after: str) -> HttpCall:
        """
        Ask for the newest record of each key.
        """

    def read(self, topic: str, offset: int, wait_ms: int) -> HttpCall:
        """
        Ask for the records from an offset on.
        """

    def join(
        self, group: str, member: str, lease_ms: int, generation: int
    ) -> HttpCall:
        """
        Join a group, or stay in it.
        """

    def leave(self, group: str, member: str) -> HttpCall:
        """
        Leave a group.
        """

    def owners(self, group: str) -> HttpCall:
        """
        Ask who is in a group.
        """

    def fence(self, group: str, epoch: int) -> HttpCall:
        """
        Shut out the holders of a duty before this one.
        """

    def decode_newest(self, body: bytes) -> NewestPage | DecodeFailure:
        """
        Decode the answer to `newest`.
        """

    def decode_slice(
        self, body: bytes, offset: int
    ) -> LogSlice | DecodeFailure:
        """
        Decode the answer to `read`.
        """

    def decode_membership(self, body: bytes) -> Membership | DecodeFailure:
        """
        Decode the answer to `join`.
        """

    def decode_owners(self, body: bytes) -> tuple[str, ...] | DecodeFailure:
        """
        Decode the answer to `owners`: the members.
        """


@dataclass(frozen=True, slots=True)
class Vocabulary:
    """
    A platform's names and formats, as functions without state.

    :param ready_path: asked by the platform's readiness checks.
    :param directory_path: asked by callers for addresses.
    """

    ready_path: str
    directory_path: str
    store: StoreCalls
    read_settings: Callable[[str], GatewaySettings | list[Finding]]
    read_desired: Callable[[bytes], Desired | DecodeFailure]
    read_entry: Callable[[str, bytes], Target | DecodeFailure]
    read_report: Callable[[str, bytes], Report | DecodeFailure]
    report_call: Callable[[str], HttpCall]
    place_call: Callable[[str, HeldLayers, int], HttpCall]
    detour_call: Callable[[str, str, Sequence['Hop']], HttpCall]
    caller_fields: Callable[[Headers], CallerFields]
    caller_zone: Callable[[str], str]
    directory_answer: Callable[[Sequence[Address], float], bytes]
    target_headers: Callable[[Headers, ForwardFields], Headers]
    response_fields: Callable[[Headers], ResponseFields]
