"""
Builds answers of the platform's store.
"""

import base64
import json

OFFSET_BYTES = 8
LENGTH_BYTES = 4


def keyed_record(key, content):
    """
    Return a framed record of a keyed topic.

    :param content: none to delete the key.
    """
    raw = bytes([len(key)]) + key.encode() + (content or b'')
    return len(raw).to_bytes(LENGTH_BYTES, 'big') + raw


def read_page(end, *records):
    """
    Return the answer to a read of keyed records.

    :param end: the offset after the last record of the topic.
    """
    offsets = end.to_bytes(OFFSET_BYTES, 'big') + bytes(OFFSET_BYTES)
    return offsets + b''.join(keyed_record(*record) for record in records)


def newest_page(end, records, has_more=False):
    """
    Return a page of the newest record of each key.
    """
    items = [
        {'key': key, 'value': base64.b64encode(raw).decode(), 'offset': 0}
        for key, raw in records.items()
    ]
    page = {'items': items, 'has_more': has_more, 'end_offset': end}
    return json.dumps(page).encode()
