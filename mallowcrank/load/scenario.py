"""
What a scenario is: callers, and a time line of faults.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from mallowcrank.load.records import CallKind


@unique
class OrderRecipient(StrEnum):
    """
    Who takes an order of the time line.
    """

    STANDIN = 'standin'
    PROCESS = 'process'


@dataclass(frozen=True)
class Order:
    """
    One order of the time line.

    :param at_s: seconds from the start.
    :param name: the process or the stand-in, or a whole availability zone.
    :param body: what to post, such as `{"fault": "crash"}`.
    :param is_fault: whether recovery is measured from it.
    """

    at_s: float
    where: OrderRecipient
    name: str
    body: dict[str, object] = field(default_factory=dict)
    is_fault: bool = False


@dataclass(frozen=True)
class CallerGroup:
    """
    Callers that are alike.

    :param callers: threads.
    :param pause_s: seconds between the calls of one caller.
    :param prefix: what each prompt starts with.
    :param prompt_bytes: least and most bytes after the prefix.
    :param max_tokens: least and most tokens of an answer.
    :param deadline_s: seconds for a call with all its tries.
    :param silence_s: seconds without an answer until another router is
        tried; 0: half of what is left of the deadline.
    """

    name: str
    kind: CallKind
    workspace: str
    serves: str
    callers: int
    pause_s: float = 0
    prefix: str = ''
    prompt_bytes: tuple[int, int] = (16, 48)
    max_tokens: tuple[int, int] = (24, 48)
    repeatable: bool = True
    deadline_s: float = 20
    priority: int = 0
    silence_s: float = 0


@dataclass(frozen=True)
class Scenario:
    """
    One scenario.

    :param about: one sentence.
    :param seconds: for which callers start calls.
    :param warm_s: seconds at the start that do not count for throughput.
    :param config_within_s: seconds in which published settings must be in
        force on every router; 0: it is not judged.
    """

    name: str
    about: str
    groups: tuple[CallerGroup, ...]
    orders: tuple[Order, ...] = ()
    seconds: float = 20
    warm_s: float = 3
    config_within_s: float = 0
