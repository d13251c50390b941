"""Answer text, token counts and cache keys as functions of a prompt."""
import hashlib
import json
import math
import random

CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
BYTES_PER_WORD = 2
KEY_BYTES = 8

# Median and sigma of the log-normal output lengths, in tokens. With this
# sigma one answer in a hundred is longer than about eight times the median.
LENGTH_MEDIAN = 60
LENGTH_SIGMA = 0.9
LENGTH_MAX = 2000


def prompt_text(messages):
    """Return one string for a list of chat messages.

    Content that is not a string is encoded as JSON with sorted keys.
    """
    lines = []
    for msg in messages:
        content = msg.get("content")
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True)
        lines.append(f"{msg.get('role', 'user')}: {content}")
    return "\n".join(lines)


def expected_words(prompt, n):
    """Return the first n words of the answer to a prompt."""
    size = n * BYTES_PER_WORD
    raw = hashlib.shake_128(prompt.encode()).digest(size)
    ends = range(0, size, BYTES_PER_WORD)
    return [f"t{int.from_bytes(raw[i:i + BYTES_PER_WORD])}" for i in ends]


def expected_text(prompt, n):
    """Return the complete answer of n tokens to a prompt.

    :param prompt: the result of :func:`prompt_text`.
    :param n: ``usage.completion_tokens`` of the answer.
    """
    return " ".join(expected_words(prompt, n))


def count_tokens(prompt):
    """Return the number of tokens of a prompt, at four characters each."""
    return max(1, math.ceil(len(prompt) / CHARS_PER_TOKEN))


def draw_length(prompt, seed):
    """Return the output length of a prompt, in tokens.

    The length depends only on the prompt and the seed, so that engines
    with the same seed give the same complete answer to a prompt.
    """
    rng = random.Random(f"{seed}:{prompt}")
    drawn = rng.lognormvariate(math.log(LENGTH_MEDIAN), LENGTH_SIGMA)
    return max(1, min(LENGTH_MAX, round(drawn)))


def prefix_keys(prompt):
    """Return the cache key of each complete block of 256 characters.

    Key k covers the prompt from its start to the end of block k: it is
    the 8-byte blake2b digest of that text in UTF-8, in hexadecimal.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    keys = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start:start + BLOCK_CHARS].encode())
        keys.append(digest.hexdigest())
    return keys
