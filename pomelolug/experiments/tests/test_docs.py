import ast
import gc
import importlib
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[3]
SCRIPT = ROOT / "tools" / "check_docs.py"


@pytest.fixture(scope="module")
def check_docs():
    with pytest.MonkeyPatch.context() as patch:
        patch.syspath_prepend(SCRIPT.parent)
        yield importlib.import_module("check_docs")


@pytest.fixture(scope="module")
def known(check_docs):
    return check_docs.known_names(ROOT)


class _ParsesWhenCollected:
    """Parses a source in its finalizer, as a traceback of a failed task does."""

    def __init__(self) -> None:
        self.itself = self

    def __del__(self) -> None:
        ast.parse("a = b + c")


@pytest.fixture(scope="module")
def checkout_names(check_docs):
    return importlib.import_module("checkout_names")


def test_finalizer_that_parses_does_not_fail_the_check(checkout_names):
    # Guards against "AST constructor recursion depth mismatch", which failed the checks
    # of the pages when a traceback was formatted while a source was parsed.
    source = "\n".join(
        f"def f_{n}(a, b):\n    return (a, [b, {n}])" for n in range(500)
    )
    thresholds = gc.get_threshold()
    gc.set_threshold(50)
    try:
        for _ in range(20):
            _ParsesWhenCollected()
            checkout_names.parse_source(source)
    finally:
        gc.set_threshold(*thresholds)
        # A finalizer that runs later would disturb the parsing of pytest itself.
        gc.collect()


def test_pages_name_only_what_exists():
    # Guards against pages that name code, commands or files that no longer exist,
    # which happens when something is renamed or removed without its pages.
    run = subprocess.run(
        [sys.executable, str(SCRIPT)], capture_output=True, text=True, check=False
    )
    assert run.returncode == 0, run.stdout + run.stderr


@pytest.mark.parametrize(
    "span",
    [
        "MadeUpController",
        "made_up_function",
        "Appender.made_up_method",
        "invariants.made_up_check",
        "pomelolug.made_up_module",
        "pomelolug/entry/_made_up.py",
        "listen.made_up",
        "pomelolug_made_up_total{reason}",
        "_made_up{reason}",
        "schema/made-up/<subject>.toml",
        "--made-up",
        "make made-up",
        "make replay MADE_UP=1",
        "make replay TRACE=traces/made-up.toml",
        "pomelolug made-up",
        "python -m pomelolug.experiments.made_up",
        "gateway/tests/test_made_up.py",
        "test_made_up_name_is_found",
    ],
)
def test_name_that_does_not_exist_is_found(check_docs, known, span):
    # Guards against a check that passes whatever the pages say.
    page = f"# Page\n\nText that names `{span}`.\n"
    missing = check_docs.missing_in_page(known, "docs/page.md", page)
    assert [(item.page, item.line) for item in missing] == [("docs/page.md", 3)]


def test_command_in_a_code_block_is_checked(check_docs, known):
    # Guards against examples of commands that can no longer be run.
    page = "# Page\n\n    make demo\n    make made-up\n\n```\nmake made-up\n```\n"
    missing = check_docs.missing_in_page(known, "docs/page.md", page)
    assert [(item.line, item.name) for item in missing] == [
        (4, "made-up"),
        (7, "made-up"),
    ]


def test_log_line_in_a_code_block_is_not_checked(check_docs, known):
    # Log lines are quoted as an earlier build printed them.
    page = '# Page\n\n    {"event": "made_up_event", "made_up_field": 1}\n'
    assert check_docs.missing_in_page(known, "docs/page.md", page) == []


def test_script_fails_for_a_page_with_a_made_up_name(
    check_docs, tmp_path, monkeypatch, capsys
):
    # Guards against a script that reports a missing name and still exits with 0.
    directories = ("pomelolug", "tools", "schema", "deploy", "traces")
    for name in (*directories, "Makefile", "pyproject.toml"):
        (tmp_path / name).symlink_to(ROOT / name)
    (tmp_path / "docs").mkdir()
    (tmp_path / "README.md").write_text("Uses `MadeUpController`.\n")
    (tmp_path / "docs" / "page.md").write_text("Uses `GroupPhase`.\n")
    monkeypatch.setattr(check_docs, "ROOT", tmp_path)
    assert check_docs.main() == 1
    assert capsys.readouterr().out == "README.md:1: MadeUpController\n"
