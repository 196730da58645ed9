"""
The data of a scenario: callers, and a timeline of faults.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from mallowcrank.load.records import CallKind


@unique
class OrderRecipient(StrEnum):
    """
    The recipient of an order.
    """

    STANDIN = 'standin'
    PROCESS = 'process'


@dataclass(frozen=True)
class Order:
    """
    An order of the timeline, posted to a stand-in or to the control address.

    :param at_s: seconds after the start of the run.
    :param name: the process, the stand-in or the availability zone.
    :param body: the JSON body, such as `{"fault": "crash"}`.
    :param is_fault: whether recovery is measured from this order.
    """

    at_s: float
    where: OrderRecipient
    name: str
    body: dict[str, object] = field(default_factory=dict)
    is_fault: bool = False


@dataclass(frozen=True)
class CallerGroup:
    """
    A group of callers with the same settings.

    :param callers: the number of callers, each a thread.
    :param pause_s: seconds between the calls of one caller.
    :param prefix: the common start of all prompts.
    :param prompt_bytes: minimum and maximum bytes after the prefix.
    :param max_tokens: minimum and maximum of a call's token limit.
    :param deadline_s: seconds for a call, including all its tries.
    :param silence_s: seconds without an answer until another router is
        tried; 0: for completions half of the remaining time, at least 5 s,
        otherwise all of it.
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
    A scenario.

    :param about: a description in one sentence.
    :param seconds: how long callers start calls.
    :param warm_s: seconds at the start that don't count for throughput.
    :param config_within_s: seconds within which published settings must be in
        force on every router; 0: not checked.
    """

    name: str
    about: str
    groups: tuple[CallerGroup, ...]
    orders: tuple[Order, ...] = ()
    seconds: float = 20
    warm_s: float = 3
    config_within_s: float = 0
