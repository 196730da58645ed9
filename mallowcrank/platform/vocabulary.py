"""
Binds the platform's names and formats to the gateway's port.
"""

from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.platform.desired_state import read_desired
from mallowcrank.platform.entries import (
    read_entry,
    read_report,
    report_call,
)
from mallowcrank.platform.exchange import (
    answer_fields,
    caller_fields,
    caller_zone,
    directory_answer,
)
from mallowcrank.platform.forwarding import proxy_headers, target_headers
from mallowcrank.platform.node_settings import read_settings
from mallowcrank.platform.orders import detour_call, place_call
from mallowcrank.platform.store import PlatformStore

SETTINGS_VARIABLE = 'MALLOWCRANK_NODE_FILE'


def platform_vocabulary() -> Vocabulary:
    """
    Return the platform's names and formats.
    """
    return Vocabulary(
        ready_path='/readiness',
        directory_path='/resolution',
        store=PlatformStore(),
        read_settings=read_settings,
        read_desired=read_desired,
        read_entry=read_entry,
        read_report=read_report,
        report_call=report_call,
        place_call=place_call,
        detour_call=detour_call,
        caller_fields=caller_fields,
        caller_zone=caller_zone,
        directory_answer=directory_answer,
        target_headers=target_headers,
        proxy_headers=proxy_headers,
        response_fields=answer_fields,
    )
