"""
Hashes of names.
"""

from xxhash import xxh64_intdigest


def hash_name(name: str, seed: int = 0) -> int:
    """
    Return the 64-bit hash of a name.
    """
    return xxh64_intdigest(name.encode(), seed=seed)
