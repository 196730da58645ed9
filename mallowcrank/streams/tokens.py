"""
Byte-level tokenizer, and the prompt hashes that identify cached prefixes.
"""

from collections.abc import Sequence
from struct import pack

from xxhash import xxh64

BLOCK_TOKENS = 16


def tokenize(text: str) -> tuple[int, ...]:
    """
    Return the token ids of a text.
    """
    return tuple(text.encode('utf-8', 'replace'))


def prefix_hashes(tokens: Sequence[int]) -> tuple[str, ...]:
    """
    Return a hash for each complete block of tokens, which also covers all
    blocks before it.
    """
    digest = xxh64()
    hashes: list[str] = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = tokens[start : start + BLOCK_TOKENS]
        digest.update(pack(f'<{BLOCK_TOKENS}H', *block))
        hashes.append(digest.hexdigest())
    return tuple(hashes)
