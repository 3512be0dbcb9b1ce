"""Print the names that are visible outside of the process, one per line.

Usage: ``python tools/outer_names.py > tools/outer_names.txt``. Run it before
identifiers are renamed; the names on the list must not change.

The list contains the fields of messages and other structs, the tags of messages, enum
values, keys, headers, paths and other strings without spaces, metric names and
labels, commands with their options, environment variables, and the keys of the
schema, the traces and the deploy folder. Events and fields of log lines are listed
if the documentation, a test or an experiment mentions them.
"""

import ast
import pathlib
import re
import tomllib
from collections.abc import Iterator
from typing import Any

from checkout_names import parse_source

ROOT = pathlib.Path(__file__).resolve().parent.parent
_NAME = re.compile(r"[A-Za-z0-9_.:/@*{}+=-]*[A-Za-z][A-Za-z0-9_.:/@*{}+=-]*")
_LOG_CALLS = {"debug", "info", "warning", "error", "exception", "bind"}
_TYPE_CALLS = {"NewType", "TypeVar", "cast"}
_SERIALIZED_BASES = ("Struct", "Message", "_Strict", "NamedTuple", "TypedDict")


def source_files() -> list[pathlib.Path]:
    """Return the Python files of the package except its tests."""
    files = sorted((ROOT / "pomelolug").rglob("*.py"))
    return [path for path in files if "tests" not in path.parts]


def documented_words() -> set[str]:
    """Return the identifiers in the documentation, the tests and the experiments."""
    pages = [*(ROOT / "docs").rglob("*.md"), *(ROOT / "pomelolug").rglob("tests/*.py")]
    pages += (ROOT / "pomelolug" / "experiments").rglob("*.py")
    words: set[str] = set()
    for page in pages:
        words.update(re.findall(r"[A-Za-z_][A-Za-z0-9_]*", page.read_text()))
    return words


def is_log_call(node: ast.AST) -> bool:
    """Return whether a node is a call of a method of a structlog logger."""
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in _LOG_CALLS
        and "log" in ast.unparse(node.func.value)
    )


def iter_strings(node: ast.AST, words: set[str]) -> Iterator[str]:
    """Yield the strings of a tree that may be visible outside of the process."""
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return
    if isinstance(node, ast.Constant):
        value = node.value
        if isinstance(value, bytes):
            value = value.decode("latin-1")
        if isinstance(value, str) and _NAME.fullmatch(value):
            yield value
        return
    if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "__all__":
        return
    if isinstance(node, ast.Call) and ast.unparse(node.func).split(".")[-1] in (
        _TYPE_CALLS
    ):
        return
    if is_log_call(node):
        assert isinstance(node, ast.Call)
        found = [k.arg for k in node.keywords if k.arg]
        found += [a.value for a in node.args if isinstance(a, ast.Constant)]
        yield from (name for name in found if name in words)
        for keyword in node.keywords:
            yield from iter_strings(keyword.value, words)
        return
    for field, value in ast.iter_fields(node):
        if field in ("annotation", "returns"):
            continue
        for child in value if isinstance(value, list) else [value]:
            if isinstance(child, ast.AST):
                yield from iter_strings(child, words)


def iter_outer_fields(tree: ast.Module) -> Iterator[str]:
    """Yield the fields of structs, the tags of messages and commands with options."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        bases = [ast.unparse(base) for base in node.bases]
        if any(word in base for base in bases for word in _SERIALIZED_BASES):
            if "Message" in bases:
                yield node.name
            for item in node.body:
                if isinstance(item, ast.AnnAssign):
                    yield ast.unparse(item.target)
        elif node.name == "Commands":
            for item in node.body:
                if isinstance(item, ast.FunctionDef) and item.name[0] != "_":
                    yield from (item.name, *option_names(item))


def option_names(function: ast.FunctionDef) -> list[str]:
    """Return the parameters of a command function except ``self``: its options."""
    arguments = [*function.args.args, *function.args.kwonlyargs]
    return [item.arg for item in arguments if item.arg != "self"]


def iter_fire_options(tree: ast.Module) -> Iterator[str]:
    """Yield the options of the functions that ``fire.Fire`` is called with."""
    fire_functions = {
        call.args[0].id
        for call in ast.walk(tree)
        if isinstance(call, ast.Call)
        and ast.unparse(call.func) == "fire.Fire"
        and isinstance(call.args[0], ast.Name)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef) and node.name in fire_functions:
            yield from option_names(node)


def iter_keys(value: Any) -> Iterator[str]:
    """Yield all keys of a parsed TOML file, nested ones included."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield key
            yield from iter_keys(item)
    elif isinstance(value, list):
        for item in value:
            yield from iter_keys(item)


def collect_names() -> set[str]:
    """Return all names that are visible outside of the process."""
    words, found = documented_words(), set()
    for path in source_files():
        tree = parse_source(path.read_text())
        found.update(iter_strings(tree, words))
        found.update(iter_outer_fields(tree))
        found.update(iter_fire_options(tree))
    for folder in ("schema", "traces", "deploy"):
        for path in (ROOT / folder).rglob("*.toml"):
            found.update(iter_keys(tomllib.loads(path.read_text())))
    return {name for name in found if len(name) > 1}


if __name__ == "__main__":
    print("\n".join(sorted(collect_names())))
