"""Deterministic tokens that let a caller verify its answer.

Each token contains a digest of the prompt and the position of the token, so that a
caller can detect tokens of another request, repeated tokens and missing tokens.
"""

import dataclasses
import hashlib
import re
from collections.abc import Mapping
from typing import Any

__all__ = [
    "AnswerCheck",
    "check_answer",
    "format_token",
    "prefix_blocks",
    "prompt_digest",
    "prompt_text",
]

_DIGEST_CHARS = 12
_BLOCK_CHARS = 64
_TOKEN_PATTERN = re.compile(r"([0-9a-f]{12})\.(\d+) ")


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt of a completion or chat-completion request."""
    if "messages" in body:
        return "\n".join(str(message.get("content")) for message in body["messages"])
    return str(body.get("prompt", ""))


def prompt_digest(body: Mapping[str, Any]) -> str:
    """Return the digest of the prompt that every token of the answer contains."""
    digest = hashlib.sha256(prompt_text(body).encode()).hexdigest()
    return digest[:_DIGEST_CHARS]


def format_token(digest: str, position: int) -> str:
    """Return the text of the token at `position`.

    Examples
    --------
    >>> format_token("0123456789ab", 7)
    '0123456789ab.7 '
    """
    return f"{digest}.{position} "


def prefix_blocks(body: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the chained hash of each full block of 64 prompt characters."""
    text = prompt_text(body)
    blocks = []
    previous = b""
    for end in range(_BLOCK_CHARS, len(text) + 1, _BLOCK_CHARS):
        block = text[end - _BLOCK_CHARS : end].encode()
        previous = hashlib.sha256(previous + block).digest()
        blocks.append(previous.hex()[:16])
    return tuple(blocks)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerCheck:
    """Result of comparing the text of an answer with the expected tokens.

    `tokens` counts distinct positions seen, `crossed` tokens of other prompts,
    `repeated` tokens at a position already seen, `missing` positions never seen,
    and `garbage` characters outside of any token.
    """

    tokens: int
    crossed: int
    repeated: int
    missing: int
    garbage: int

    @property
    def is_exact(self) -> bool:
        """Whether the text is exactly the expected answer."""
        return not (self.crossed or self.repeated or self.missing or self.garbage)


def check_answer(text: str, digest: str, expected_tokens: int) -> AnswerCheck:
    """Compare the text of an answer with the expected tokens.

    Examples
    --------
    >>> own, other = "0123456789ab", "ba9876543210"
    >>> check_answer(format_token(own, 0) + format_token(own, 1), own, 2).is_exact
    True
    >>> check_answer(format_token(own, 0) + format_token(other, 1), own, 2).crossed
    1
    """
    crossed = 0
    repeated = 0
    matched_chars = 0
    seen: set[int] = set()
    for match in _TOKEN_PATTERN.finditer(text):
        matched_chars += match.end() - match.start()
        position = int(match[2])
        if match[1] != digest:
            crossed += 1
        elif position in seen:
            repeated += 1
        else:
            seen.add(position)
    return AnswerCheck(
        tokens=len(seen),
        crossed=crossed,
        repeated=repeated,
        missing=len(set(range(expected_tokens)) - seen),
        garbage=len(text) - matched_chars,
    )
