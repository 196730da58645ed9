"""
Writes and reads snapshots: a folded tree as a log record, with a hash.
"""

import base64
import hashlib
import zlib
from dataclasses import replace
from typing import Any

import msgpack

from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.records import MalformedRecord, SnapshotRecord
from mallowcrank.config.tree import Entry, Tree

DIGEST_BYTES = 16


def pack_tree(tree: Tree) -> bytes:
    """
    Serialize a tree; equal trees give equal bytes.
    """
    return msgpack.packb(
        (
            tree.version,
            tree.last,
            tree.through,
            tree.floor,
            _serialize_nodes(tree),
            _serialize_entries(tree.removed),
            to_plain(tree.outcomes),
        )
    )


def unpack_tree(packed: bytes) -> Tree:
    """
    Deserialize a tree.

    :param packed: the output of `pack_tree`.
    :raises ValueError: when the bytes are not a packed tree.
    """
    *offsets, nodes, removed, outcomes = msgpack.unpackb(packed)
    return Tree(
        *offsets,
        nodes={
            node: _deserialize_entries(serialized)
            for node, serialized in nodes.items()
        },
        removed=_deserialize_entries(removed),
        outcomes=from_plain(outcomes, tuple[Outcome, ...]),
    )


def digest_of(tree: Tree) -> str:
    """
    Return the hash of a tree's content, in hexadecimal.

    `through` is left out, because records of other types advance it too.
    """
    packed = pack_tree(replace(tree, through=tree.last))
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).hexdigest()


def make_snapshot(tree: Tree, record_id: str, writer: str) -> SnapshotRecord:
    """
    Build a snapshot record of a tree.

    :param record_id: the new record's id.
    :param writer: the name of the host that writes it.
    """
    packed = zlib.compress(pack_tree(tree))
    return SnapshotRecord(
        id=record_id,
        through=tree.through,
        version=tree.version,
        digest=digest_of(tree),
        tree=base64.b64encode(packed).decode(),
        writer=writer,
    )


def open_snapshot(record: SnapshotRecord) -> Tree | MalformedRecord:
    """
    Return the tree of a snapshot.

    :returns: a `MalformedRecord` if the tree can't be unpacked, or doesn't
        match the record's hash, offset or version.
    """
    try:
        tree = unpack_tree(zlib.decompress(base64.b64decode(record.tree)))
    except (ValueError, TypeError, zlib.error) as error:
        return MalformedRecord(
            record.id, f'the snapshot holds no tree: {error}'
        )
    if digest_of(tree) != record.digest:
        return MalformedRecord(record.id, "the snapshot's hash is another one")
    if tree.through != record.through or tree.version != record.version:
        return MalformedRecord(record.id, 'the snapshot reaches elsewhere')
    return tree


def _serialize_nodes(tree: Tree) -> dict[str, dict[str, Any]]:
    return {
        node: _serialize_entries(tree.nodes[node])
        for node in sorted(tree.nodes)
    }


def _serialize_entries(entries: Any) -> dict[str, tuple[Any, int, str]]:
    return {
        name: (entry.value, entry.version, entry.record)
        for name, entry in sorted(entries.items())
    }


def _deserialize_entries(serialized: Any) -> dict[str, Entry]:
    return {name: Entry(*fields) for name, fields in serialized.items()}
