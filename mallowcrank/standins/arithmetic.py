"""
The stand-in model: deterministic arithmetic in place of a language model.

Every layer folds its input into its KV state and its KV state into its
output, so that a skipped, repeated or misordered layer changes the answer.
"""

from collections.abc import Iterable
from struct import Struct

from xxhash import xxh64_intdigest

END_TOKEN = 256  # ends an answer
MEAN_ANSWER_TOKENS = 512  # tokens, on average, until an answer ends by itself
ALPHABET = b'abcdefghijklmnopqrstuvwxyz '
_PAIR = Struct('<QQ')
_TRIPLE = Struct('<QQQ')


def fold(kv: int, hidden: int) -> int:
    """
    Return a layer's KV state after one more token.
    """
    return xxh64_intdigest(_PAIR.pack(kv, hidden))


def transform(hidden: int, layer: int, kv: int) -> int:
    """
    Return a layer's output for a token.
    """
    return xxh64_intdigest(_TRIPLE.pack(hidden, layer, kv))


def next_token(hidden: int) -> int:
    """
    Return the token id that follows from the last layer's hidden state.
    """
    if hidden % MEAN_ANSWER_TOKENS == 0:
        return END_TOKEN
    return ALPHABET[(hidden >> 16) % len(ALPHABET)]


def run_token(kv: dict[int, int], layers: Iterable[int], hidden: int) -> int:
    """
    Run one token through layers in order.

    :param kv: the KV state by layer; it is changed.
    :returns: the hidden state after the last of the layers.
    """
    for layer in layers:
        kv[layer] = fold(kv.get(layer, 0), hidden)
        hidden = transform(hidden, layer, kv[layer])
    return hidden


def expected_answer(prompt: bytes, layers: int, max_tokens: int) -> bytes:
    """
    Return the answer that a whole and ordered run gives.

    :param layers: the model's count of layers.
    :param max_tokens: the bound on the answer's tokens.
    """
    kv: dict[int, int] = {}
    every_layer = range(layers)
    answer = bytearray()
    pending = list(prompt)
    while len(answer) < max_tokens:
        hidden = 0
        for token in pending:
            hidden = run_token(kv, every_layer, token)
        following = next_token(hidden)
        if following == END_TOKEN:
            break
        answer.append(following)
        pending = [following]
    return bytes(answer)
