"""
The interface between a gateway and the platform that it runs on.

A platform binding defines names, formats and calls. It holds no state and
makes no decisions.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mallowcrank.findings import Finding
from mallowcrank.gateway.desired import Desired
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.targets import HeldLayers, Target, TargetReport

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpCall:
    """
    An HTTP request of the gateway itself, to the store or to a target.

    :param path: path and query.
    """

    method: str
    path: str
    body: bytes = b''
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class CallerFields:
    """
    The fields parsed from a caller's headers.

    :param request_id: id of the request.
    :param deadline_ms: milliseconds that the caller waits; `None` if absent or
        invalid.
    :param key: the caller's API key.
    :param last_event: id of the event after which a stream resumes.
    :param prompt_tokens: 0 if unknown.
    :param output_tokens: maximum number of tokens to generate.
    :param output_estimate: the caller's estimate of the tokens that will be
        generated; 0 if unknown.
    :param problem: what is invalid in the headers; empty if nothing is.
    :param prompt_parts: ids of the parts of the prompt that other requests may
        share; the request's own last part is left out.
    """

    request_id: str
    deadline_ms: float | None
    key: str
    last_event: str
    prompt_tokens: int
    output_tokens: int
    output_estimate: int
    problem: str = ''
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Hop:
    """
    One target's part of a path.

    :param first: first layer.
    :param end: layer after the last one.
    """

    address: Address
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class ForwardFields:
    """
    The fields that a gateway adds to the headers of a forwarded request.

    :param target: identity of the target.
    :param remaining_ms: milliseconds until the caller's deadline.
    :param hops: the path over engines; empty for a plain service.
    :param last_event: id of the event after which a stream resumes.
    """

    target: str
    remaining_ms: int
    workspace: str
    hops: tuple[Hop, ...] = ()
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """
    The fields parsed from the headers of a target's response.

    :param request_id: id of the request that it answers.
    :param is_genuine: whether it has the target's seal, and no intermediary
        encoded its body.
    :param did_not_run: whether the target states that the request did not run.
    :param fault_address: address of the target at fault, as `IP:PORT`; empty
        if none is named.
    :param rate_limit: requests per second that the target takes from all
        gateways together; `None` if it names no valid limit.
    :param rate_limit_problem: what is invalid in the limit; empty if nothing
        is.
    :param is_leaving: whether the target says that it takes no new work.
    :param retry_after_s: seconds for which the target wants no request, if it
        refuses one; `None` if it names no valid time.
    :param leaving_problem: what is invalid in that; empty if nothing is.
    """

    request_id: str
    is_genuine: bool
    did_not_run: bool
    fault_address: str
    rate_limit: float | None = None
    rate_limit_problem: str = ''
    is_leaving: bool = False
    retry_after_s: float | None = None
    leaving_problem: str = ''


class LogPosition(NamedTuple):
    """
    A position in a topic of the store; positions compare by their order.

    :param era: the store's era, in which the offset holds.
    """

    era: int
    offset: int


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """
    A record of a topic.

    :param content: `None` if the key was deleted.
    """

    key: str
    content: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """
    A page of the newest record of each key of a topic.

    :param has_more: whether more pages follow.
    :param end: offset at which to continue reading the topic.
    """

    records: tuple[StoreRecord, ...]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class LogSlice:
    """
    Consecutive records of a topic.

    :param end: offset at which to continue reading the topic.
    """

    records: tuple[StoreRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Membership:
    """
    The result of joining a group.

    :param owned: topics and partitions assigned to the member.
    """

    generation: int
    owned: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class DecodeFailure:
    """
    The result of decoding invalid bytes.

    :param reason: what is invalid.
    """

    reason: str


class StoreCalls(Protocol):
    """
    Encodes calls to the platform's store and decodes their responses.
    """

    desired_topic: str
    desired_key: str
    targets_topic: str

    def newest(self, topic: str, after: str) -> HttpCall:
        """
        Request a page of the newest record of each key.

        :param after: key after which the page starts.
        """

    def read(self, topic: str, offset: int, wait_ms: int) -> HttpCall:
        """
        Request the records from an offset on.

        :param wait_ms: how long the store may wait for a record to appear.
        """

    def join(
        self, group: str, member: str, lease_ms: int, generation: int
    ) -> HttpCall:
        """
        Join a group, or renew a membership.
        """

    def leave(self, group: str, member: str) -> HttpCall:
        """
        Leave a group.
        """

    def owners(self, group: str) -> HttpCall:
        """
        Request the members of a group.
        """

    def fence(self, group: str, epoch: int) -> HttpCall:
        """
        Fence off earlier holders of a duty.

        :param epoch: the epoch of the current holder.
        """

    def decode_era(self, headers: Headers) -> int | DecodeFailure:
        """
        Decode the store's era from the headers of any response.

        The era changes when the store comes back from an older copy.
        """

    def decode_newest(self, body: bytes) -> NewestPage | DecodeFailure:
        """
        Decode the response to `newest`.
        """

    def decode_slice(
        self, body: bytes, offset: int
    ) -> LogSlice | DecodeFailure:
        """
        Decode the response to `read`.
        """

    def decode_membership(self, body: bytes) -> Membership | DecodeFailure:
        """
        Decode the response to `join`.
        """

    def decode_owners(self, body: bytes) -> tuple[str, ...] | DecodeFailure:
        """
        Decode the response to `owners`: the names of the members.
        """


@dataclass(frozen=True, slots=True)
class Vocabulary:
    """
    A platform binding: its names and formats, as functions without state.

    :param ready_path: path of the platform's readiness checks.
    :param directory_path: path on which callers look up addresses.
    """

    ready_path: str
    directory_path: str
    store: StoreCalls
    read_settings: Callable[[str], GatewaySettings | list[Finding]]
    read_desired: Callable[[bytes], Desired | DecodeFailure]
    read_entry: Callable[[str, bytes], Target | DecodeFailure]
    read_report: Callable[[str, bytes], TargetReport | DecodeFailure]
    report_call: Callable[[str], HttpCall]
    place_call: Callable[[str, HeldLayers, int], HttpCall]
    detour_call: Callable[[str, str, Sequence['Hop']], HttpCall]
    caller_fields: Callable[[Headers], CallerFields]
    caller_zone: Callable[[str], str]
    directory_answer: Callable[[Sequence[Address], float], bytes]
    target_headers: Callable[[Headers, ForwardFields], Headers]
    proxy_headers: Callable[[Headers, int, str], Headers]
    response_fields: Callable[[Headers], ResponseFields]
