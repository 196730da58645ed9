"""
Deterministic arithmetic that replaces a language model.

Each layer hashes its input into its KV state, and its KV state into its
output, so that a skipped, repeated or misordered layer changes the answer.
"""

from collections.abc import Iterable
from struct import Struct

from xxhash import xxh64_intdigest

END_TOKEN = 256  # marks the end of an answer
MEAN_ANSWER_TOKENS = 512  # until the model ends an answer by itself
ALPHABET = b'abcdefghijklmnopqrstuvwxyz '
_PAIR = Struct('<QQ')
_TRIPLE = Struct('<QQQ')


def fold(kv: int, hidden: int) -> int:
    """
    Return a layer's KV state after one more token.

    :param kv: the KV state before the token.
    :param hidden: the layer's input.
    """
    return xxh64_intdigest(_PAIR.pack(kv, hidden))


def transform(hidden: int, layer: int, kv: int) -> int:
    """
    Return a layer's output for a token.
    """
    return xxh64_intdigest(_TRIPLE.pack(hidden, layer, kv))


def next_token(hidden: int) -> int:
    """
    Return the token id for the last layer's hidden state.
    """
    if hidden % MEAN_ANSWER_TOKENS == 0:
        return END_TOKEN
    return ALPHABET[(hidden >> 16) % len(ALPHABET)]


def run_token(kv: dict[int, int], layers: Iterable[int], hidden: int) -> int:
    """
    Run one token through layers in order.

    :param kv: the KV state by layer; updated in place.
    :param hidden: the input of the first of the layers.
    :returns: the hidden state after the last of the layers.
    """
    for layer in layers:
        kv[layer] = fold(kv.get(layer, 0), hidden)
        hidden = transform(hidden, layer, kv[layer])
    return hidden


def expected_answer(prompt: bytes, layers: int, max_tokens: int) -> bytes:
    """
    Return the answer of a complete run with all layers in order.

    :param layers: the model's number of layers.
    :param max_tokens: maximum number of tokens in the answer.
    """
    kv: dict[int, int] = {}
    all_layers = range(layers)
    answer = bytearray()
    pending = list(prompt)
    while len(answer) < max_tokens:
        hidden = 0
        for token in pending:
            hidden = run_token(kv, all_layers, token)
        next_id = next_token(hidden)
        if next_id == END_TOKEN:
            break
        answer.append(next_id)
        pending = [next_id]
    return bytes(answer)
