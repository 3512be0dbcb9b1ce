"""Collect the names that exist in the checkout, for `check_docs`."""

import ast
import dataclasses
import functools
import gc
import pathlib
import re
import tomllib
from collections.abc import Iterator

__all__ = ["KnownNames", "known_names", "parse_source"]

_DATA_DIRECTORIES = ("schema", "deploy", "traces")
_DATA_FILES = ("pyproject.toml", "requirements-dev.in", ".ci/run")
# Sources that list names of the pages and would make each of them exist.
_EXCLUDED_SOURCES = {
    "tools/check_docs.py",
    "tools/checkout_names.py",
    "pomelolug/experiments/tests/test_docs.py",
}
_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_WORD_OR_HYPHENATED = re.compile(r"[A-Za-z_][A-Za-z0-9_]*(?:-[A-Za-z0-9_]+)*")


@dataclasses.dataclass(frozen=True)
class KnownNames:
    """Names that exist in the checkout.

    Attributes
    ----------
    words : frozenset of str
        Identifiers, and words of string literals and data files.
    members : dict of str to frozenset of str
        Names at the top level of each module, by dotted module name.
    attributes : dict of str to frozenset of str
        Names used in the bodies of each class, by class name.
    fields : frozenset of str
        Annotated fields of classes; keys of settings and documents are such fields.
    strings : frozenset of str
        Whole string literals, keys and words of data files.
    paths : frozenset of str
        Files and directories, relative to the root.
    targets : frozenset of str
        Targets and variables of the Makefile.
    """

    words: frozenset[str]
    members: dict[str, frozenset[str]]
    attributes: dict[str, frozenset[str]]
    fields: frozenset[str]
    strings: frozenset[str]
    paths: frozenset[str]
    targets: frozenset[str]

    @functools.cached_property
    def text(self) -> str:
        """All string literals and keys, one a line."""
        return "\n".join(sorted(self.strings))


def source_files(root: pathlib.Path) -> list[pathlib.Path]:
    """Return the Python files that may define names."""
    files = [*(root / "pomelolug").rglob("*.py"), *(root / "tools").glob("*.py")]
    excluded = {root / name for name in _EXCLUDED_SOURCES}
    return sorted(path for path in files if path not in excluded)


def module_name(root: pathlib.Path, path: pathlib.Path) -> str:
    """Return the dotted name under which a file is imported."""
    parts = list(path.relative_to(root).with_suffix("").parts)
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def docstring_nodes(tree: ast.AST) -> set[int]:
    """Return the ids of bare string expressions, which are prose and define nothing."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def identifiers(tree: ast.AST) -> Iterator[str]:
    """Yield every identifier of a syntax tree."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name
        elif isinstance(node, ast.alias):
            yield from node.name.split(".")
            if node.asname:
                yield node.asname


def string_constants(tree: ast.AST) -> dict[str, str]:
    """Return the variables of a module that are assigned one string literal."""
    constants: dict[str, str] = {}
    for node in ast.walk(tree):
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Constant):
            continue
        for target in node.targets:
            if isinstance(target, ast.Name) and isinstance(node.value.value, str):
                constants[target.id] = node.value.value
    return constants


def render_format_string(node: ast.JoinedStr, constants: dict[str, str]) -> str:
    """Return the text of an f-string, with ``{}`` for values that are not known."""
    parts = []
    for value in node.values:
        if isinstance(value, ast.Constant):
            parts.append(str(value.value))
        elif isinstance(value, ast.FormattedValue):
            name = value.value.id if isinstance(value.value, ast.Name) else ""
            parts.append(constants.get(name, "{}"))
    return "".join(parts)


def literals(tree: ast.AST) -> Iterator[str]:
    """Yield the string literals of a syntax tree except docstrings."""
    docstrings = docstring_nodes(tree)
    constants = string_constants(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.JoinedStr):
            yield render_format_string(node, constants)
        elif isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def literal_words(text: str) -> set[str]:
    """Return the words of a string literal that may be names.

    Of a sentence only words with an underscore count, so that the prose of a message
    does not stand for an identifier that no longer exists.
    """
    words = words_of(text)
    if len(text.split()) > 1:
        return {word for word in words if "_" in word}
    return words


def words_of(text: str) -> set[str]:
    """Return the plain and the hyphenated words of a text."""
    return {*_WORD.findall(text), *_WORD_OR_HYPHENATED.findall(text)}


def module_members(tree: ast.Module) -> set[str]:
    """Return the names that a module defines or imports at its top level."""
    names: set[str] = set()
    for node in tree.body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Import | ast.ImportFrom):
            names.update(alias.asname or alias.name for alias in node.names)
        else:
            names.update(n.id for n in ast.walk(node) if isinstance(n, ast.Name))
    return names


def field_names(node: ast.ClassDef) -> set[str]:
    """Return the annotated fields of a class."""
    return {
        statement.target.id
        for statement in node.body
        if isinstance(statement, ast.AnnAssign)
        and isinstance(statement.target, ast.Name)
    }


def data_keys(value: object, prefix: str = "") -> Iterator[str]:
    """Yield the dotted paths of the keys of a parsed TOML document."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield f"{prefix}{key}"
            yield from data_keys(inner, f"{prefix}{key}.")
    elif isinstance(value, list):
        for inner in value:
            yield from data_keys(inner, prefix)


def make_names(root: pathlib.Path) -> set[str]:
    """Return the targets and the variables of the Makefile."""
    text = (root / "Makefile").read_text()
    return {
        *re.findall(r"^([a-z][a-z-]*):", text, re.MULTILINE),
        *re.findall(r"^([A-Z_]+) *[?:]?=", text, re.MULTILINE),
        *re.findall(r"\$\((?:or \$\()?([A-Z_]+)", text),
    }


def checkout_paths(root: pathlib.Path) -> set[str]:
    """Return the files and directories of the checkout, without hidden ones."""
    directories = ("pomelolug", "docs", "tools", *_DATA_DIRECTORIES)
    paths = {path.name for path in root.iterdir()} | {".ci/run"}
    for directory in directories:
        for path in (root / directory).rglob("*"):
            paths.add(path.relative_to(root).as_posix())
    return paths


def parse_source(source: str) -> ast.Module:
    """Return the syntax tree of a source, parsed without garbage collection.

    `ast.parse` of Python 3.11 fails if it is called while another call converts a
    tree. A finalizer may do so, such as the one of a failed task, since formatting a
    traceback parses its lines.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        if was_enabled:
            gc.enable()


def known_names(root: pathlib.Path) -> KnownNames:
    """Collect the names that exist in a checkout."""
    words: set[str] = set()
    strings: set[str] = set()
    members: dict[str, frozenset[str]] = {}
    attributes: dict[str, frozenset[str]] = {}
    fields: set[str] = set()
    for path in source_files(root):
        tree = parse_source(path.read_text())
        words.update(identifiers(tree))
        for text in literals(tree):
            words |= literal_words(text)
            strings.add(text)
        name = module_name(root, path)
        members[name] = frozenset(module_members(tree))
        words.update(name.split("."))
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                earlier = attributes.get(node.name, frozenset())
                attributes[node.name] = earlier | set(identifiers(node))
                fields.update(field_names(node))
    for directory in _DATA_DIRECTORIES:
        for path in (root / directory).rglob("*.toml"):
            text = path.read_text()
            words |= words_of(re.sub(r"^\s*#.*$", "", text, flags=re.MULTILINE))
            strings.update(data_keys(tomllib.loads(text)))
            strings.update(token.strip("\"',[]") for token in text.split())
    for data_file in _DATA_FILES:
        if (root / data_file).exists():
            words |= words_of((root / data_file).read_text())
    paths = checkout_paths(root)
    words.update(pathlib.PurePath(path).stem for path in paths)
    targets = make_names(root)
    return KnownNames(
        frozenset(words | targets),
        members,
        attributes,
        frozenset(fields),
        frozenset(strings),
        frozenset(paths),
        frozenset(targets),
    )
