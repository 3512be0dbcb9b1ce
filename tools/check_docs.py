"""Report names in the documentation that exist nowhere in the checkout.

Usage: ``python tools/check_docs.py`` reads ``README.md`` and ``docs/**/*.md`` and
prints file, line and name of each code span without a counterpart; the exit status
is 1 if there is any.

A name exists if the code defines or uses it (identifiers, attributes, words of
string literals, modules, tests), or if it is a name in ``schema``, ``deploy``,
``traces``, the Makefile or the scripts of ``pyproject.toml``, a file, or one of
`OUTSIDE_TERMS`. Inline code is checked in full. Of code blocks only command lines
are checked, because blocks also hold log lines quoted as an earlier build printed
them.
"""

import dataclasses
import pathlib
import re
import sys

from checkout_names import KnownNames, known_names

ROOT = pathlib.Path(__file__).resolve().parent.parent

#: Names that the pages may use although the checkout does not define them.
OUTSIDE_TERMS = {
    ".venv/bin": "created by make install",
    "CODE": "placeholder for an error code in the names of figures",
    "_modules": "any private module",
    "_name.py": "any private module",
    # Deployments, days and nodes of the users' bench, which is not in the checkout.
    "dpmce-pomelo": "deployment of the users' bench",
    "inc-8bcd": "day of the users' bench",
    "inc-ba1e": "day of the users' bench",
    "trouble-1": "day of the users' bench",
    "ubungo-1": "node of the users' bench",
    "ubungo-2": "node of the users' bench",
    "ubungo-3": "node of the users' bench",
}

_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_SPAN = re.compile(r"(?<!`)(`+)(?!`)(.+?)(?<!`)\1(?!`)", re.DOTALL)
_FENCE = re.compile(r"\s*(```|~~~)")
_DOTTED = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)+")
_COMMANDS = re.compile(
    r"\s*(make|pomelolug(-\w+)?|(\.venv/bin/)?python[0-9.]*|pytest|\.ci/run)(\s|$)"
)
_CODE_SHAPE = re.compile(r"_|\w\.\w|/|^--|[a-z][A-Z]|^[A-Z][a-z]+[A-Z]")
# Numbers, durations, request ids and ids of backend servers.
_VALUE = re.compile(r"[0-9]+(\.[0-9]+)?[a-z]*|[0-9a-f]{16}|i-[0-9a-f]{10}")
_METRIC = re.compile(r"([a-z_]+)(?:\{([^}]*)\})?")
_LABEL = re.compile(r"\w+(?==|,|$)")
_PLACEHOLDER = re.compile(r"<[^>]*>|\{[^}]*\}|\*|…|\.\.\.")


@dataclasses.dataclass(frozen=True)
class MissingName:
    """A name in the documentation that does not exist.

    Attributes
    ----------
    page : str
        Page, relative to the root.
    line : int
        Line number in the page, starting at 1.
    name : str
        The name as the page writes it.
    """

    page: str
    line: int
    name: str


def module_exists(known: KnownNames, name: str) -> bool:
    """Return whether a dotted name is a module, with or without the package."""
    return name in known.members or f"pomelolug.{name}" in known.members


def dotted_name_exists(known: KnownNames, name: str) -> bool:
    """Return whether a dotted name is a module, a member of one or a stored key."""
    if module_exists(known, name) or name in known.strings:
        return True
    owner, _, member = name.rpartition(".")
    for module in (owner, f"pomelolug.{owner}"):
        if module in known.members:
            return member in known.members[module] or member in module_words(
                known, module
            )
    class_name = owner.rpartition(".")[2]
    if class_name in known.attributes:
        return member in known.attributes[class_name]
    if all(part in known.fields for part in name.split(".")):
        return True
    return bool(re.search(rf"(^|[\s\"'/]){re.escape(name)}($|[\s\"'/])", known.text))


def module_words(known: KnownNames, module: str) -> set[str]:
    """Return the names that the modules below a package define."""
    names: set[str] = set()
    for name, members in known.members.items():
        if name.startswith(f"{module}."):
            names |= members
    return names


def path_exists(known: KnownNames, path: str) -> bool:
    """Return whether a file, a directory or a path of a URL exists."""
    path = path.split("#")[0].rstrip("/")
    path = path.partition("::")[0]
    candidates = {path, path.removeprefix("./")}
    for prefix in ("pomelolug", "docs", "pomelolug/entry"):
        candidates.add(f"{prefix}/{path}")
    if candidates & known.paths:
        return True
    if path.startswith("/"):
        return any(path in text for text in known.strings)
    if any(known_path.endswith(f"/{path}") for known_path in known.paths):
        return True
    return path in known.strings


def metric_exists(known: KnownNames, name: str) -> bool:
    """Return whether a metric exists.

    The client library appends ``_total`` to the names of counters. A list of metrics
    may leave out the common prefix of the process.
    """
    base = name.removesuffix("_total")
    if base.startswith("_"):
        base = f"pomelolug_entry{base}"
    return base in known.words or name in known.words


def pattern_exists(known: KnownNames, token: str) -> bool:
    """Return whether a name with placeholders such as ``<p>`` or ``NAME`` exists."""
    parts = re.split(r"<[^>]*>|\{[^}]*\}|\*|…|\.\.\.|\b[A-Z]+\b", token)
    pattern = re.compile(".+".join(re.escape(part) for part in parts))
    names = known.strings | known.paths | known.words
    return any(pattern.fullmatch(name) for name in names)


def token_exists(known: KnownNames, token: str) -> bool:
    """Return whether one word of a code span exists."""
    token = token.strip("(),;:'\"[]").removesuffix("()")
    if not token or token in OUTSIDE_TERMS or not _WORD.search(token):
        return True
    if _VALUE.fullmatch(token):
        return True
    if token in known.words or token in known.strings:
        return True
    test_file, separator, test_name = token.partition("::")
    if separator and "/" in test_file:
        tests = set(_WORD.findall(test_name))
        return path_exists(known, test_file) and tests <= known.words
    if (metric := _METRIC.fullmatch(token)) and "_" in metric[1]:
        return metric_exists(known, metric[1]) and all(
            label in known.words for label in _LABEL.findall(metric[2] or "")
        )
    if _PLACEHOLDER.search(token) or re.search(r"[/.][A-Z]+|[A-Z]+\.", token):
        if pattern_exists(known, token):
            return True
    if token.startswith("-"):
        option = token.lstrip("-").partition("=")[0].replace("-", "_")
        return option in known.words
    if "/" in token and path_exists(known, token):
        return True
    if "." in token and path_exists(known, token):
        return True
    if _DOTTED.fullmatch(token):
        return dotted_name_exists(known, token)
    if "/" in token:
        return False
    if "=" in token:
        name, _, value = token.partition("=")
        return token_exists(known, name) and (
            not _CODE_SHAPE.search(value) or token_exists(known, value)
        )
    if not re.fullmatch(r"[A-Za-z0-9_.-]+", token):
        return all(word in known.words for word in _WORD.findall(token))
    return False


def missing_in_command(known: KnownNames, command: str) -> list[str]:
    """Return the names of a command line that do not exist."""
    tokens = command.split("#")[0].split()
    if not tokens:
        return []
    if tokens[0] == "make":
        names = [token.partition("=")[0] for token in tokens[1:]]
        missing = [name for name in names if name not in known.targets]
        values = [token.partition("=")[2] for token in tokens[1:]]
        return missing + [v for v in values if "/" in v and not path_exists(known, v)]
    missing = []
    for previous, token in zip(["", *tokens], tokens, strict=False):
        if previous == "-m":
            if not module_exists(known, token) and token not in known.words:
                missing.append(token)
        elif _CODE_SHAPE.search(token) and not re.match(r".*[A-Z]+:[A-Z]+", token):
            if not token_exists(known, token):
                missing.append(token)
    if tokens[0].startswith("pomelolug") and len(tokens) > 1:
        if re.fullmatch(r"[a-z][a-z-]*", tokens[1]):
            if tokens[1].replace("-", "_") not in known.words | known.strings:
                missing.append(tokens[1])
    return missing


def missing_in_span(known: KnownNames, span: str) -> list[str]:
    """Return the names of an inline code span that do not exist."""
    span = " ".join(span.split())
    if span in OUTSIDE_TERMS or span in known.strings or span in known.targets:
        return []
    if _COMMANDS.match(span) and " " in span:
        return missing_in_command(known, span)
    if " " not in span:
        return [] if token_exists(known, span) else [span]
    if any(span in text for text in known.strings):
        return []
    tokens = [token for token in span.split() if _CODE_SHAPE.search(token)]
    return [token for token in tokens if not token_exists(known, token)]


def split_page(text: str) -> tuple[str, list[tuple[int, str]]]:
    """Separate the text of a page from its code blocks.

    Parameters
    ----------
    text : str
        The page in Markdown.

    Returns
    -------
    prose : str
        The page with the lines of code blocks made empty.
    blocks : list of (int, str)
        Line number and content of each line in a code block.
    """
    prose: list[str] = []
    blocks: list[tuple[int, str]] = []
    fenced = False
    follows_blank = True
    in_block = False
    for number, line in enumerate(text.splitlines(), 1):
        is_fence = bool(_FENCE.match(line))
        if is_fence:
            fenced = not fenced
        indented = line.startswith("    ") and (follows_blank or in_block)
        in_block = indented and not fenced
        follows_blank = not line.strip() or line.startswith("#")
        if fenced or is_fence or in_block:
            blocks.append((number, line))
            prose.append("")
        else:
            prose.append(line)
    return "\n".join(prose), blocks


def missing_in_page(known: KnownNames, page: str, text: str) -> list[MissingName]:
    """Return the names of one page that do not exist."""
    prose, blocks = split_page(text)
    missing = []
    start = 0
    for paragraph in re.split(r"(\n\s*\n)", prose):
        for match in _SPAN.finditer(paragraph):
            line = prose.count("\n", 0, start + match.start()) + 1
            for name in missing_in_span(known, match[2]):
                missing.append(MissingName(page, line, name))
        start += len(paragraph)
    for number, line in blocks:
        if _COMMANDS.match(line):
            for name in missing_in_command(known, line):
                missing.append(MissingName(page, number, name))
    return missing


def check_pages(root: pathlib.Path) -> list[MissingName]:
    """Return the names in README.md and docs that do not exist in the checkout."""
    known = known_names(root)
    missing = []
    for path in [root / "README.md", *sorted((root / "docs").rglob("*.md"))]:
        page = path.relative_to(root).as_posix()
        missing += missing_in_page(known, page, path.read_text())
    return missing


def main() -> int:
    """Print the missing names; return the exit status."""
    missing = check_pages(ROOT)
    for item in missing:
        print(f"{item.page}:{item.line}: {item.name}")
    print(f"{len(missing)} names do not exist", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
