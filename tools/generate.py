"""Generate the message structs and the settings structs from the schema.

Usage: ``python tools/generate.py`` writes the files,
``python tools/generate.py --check`` fails if a committed file differs.
"""

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
MESSAGES = ROOT / "pomelolug" / "messages"
SETTINGS = ROOT / "pomelolug" / "settings"

SETTING_TYPES = {
    "str": "str",
    "int": "int",
    "float": "float",
    "bool": "bool",
    "duration": "datetime.timedelta",
    "address": "Address",
    "list": "tuple[str, ...]",
    "addresses": "tuple[Address, ...]",
    "secret": "str",
}


def load_toml(path: pathlib.Path) -> dict:
    """Parse a TOML file."""
    return tomllib.loads(path.read_text())


def render_message_module(subject: str, schema: dict) -> str:
    """Return the source of one generated message module."""
    names = [name for name in schema if name != "doc"]
    imports = sorted({i for n in names for i in schema[n].get("imports", [])})
    lines = [f'"""{schema["doc"]}', "", f"Generated from schema/messages/{subject}"]
    lines[-1] += '.toml.\n"""'
    lines += ["", "from pomelolug.messages._codec import Message"]
    lines += imports
    lines += ["", f"__all__ = {sorted(names)!r}"]
    for name in names:
        options = "frozen=True, kw_only=True"
        if schema[name].get("omit_defaults"):
            options += ", omit_defaults=True"
        lines += ["", "", f"class {name}(Message, {options}):"]
        lines += [f'    """{schema[name]["doc"]}"""', ""]
        for field, spec in schema[name].get("fields", {}).items():
            default = f" = {spec['default']}" if "default" in spec else ""
            lines += [f"    {field}: {spec['type']}{default}"]
            lines += [f'    """{spec["doc"]}"""']
    return "\n".join(lines) + "\n"


def render_message_package(subjects: dict[str, dict]) -> str:
    """Return the source of the package that exports all messages."""
    names = {s: sorted(n for n in d if n != "doc") for s, d in subjects.items()}
    all_names = sorted(n for group in names.values() for n in group)
    lines = ['"""Messages between the processes and records on the log."""', ""]
    lines += ["from pomelolug.messages._codec import (", "    MAX_MESSAGE_BYTES,"]
    lines += ["    Message,", "    decode,", "    encode,", ")"]
    for subject in sorted(names):
        lines += [
            f"from pomelolug.messages._{subject}_generated import "
            f"({', '.join(names[subject])})"
        ]
    public = sorted([*all_names, "MAX_MESSAGE_BYTES", "Message", "decode", "encode"])
    lines += ["", f"__all__ = {public!r}"]
    return "\n".join(lines) + "\n"


def render_settings_module(process: str, schema: dict) -> str:
    """Return the source of one generated settings module."""
    title = process.title().replace("_", "")
    sections = [name for name in schema if name != "doc"]
    lines = [f'"""{schema["doc"]}', "", f"Generated from schema/settings/{process}"]
    lines[-1] += '.toml.\n"""'
    lines += ["", "import datetime", "", "import msgspec", ""]
    lines += ["from pomelolug.settings._spec import Address, OptionSpec", ""]
    lines += [f'__all__ = ["{title}Settings", "{process.upper()}_SPEC"]']
    for section in sections:
        lines += ["", "", f"class {title}{section.title().replace('_', '')}("]
        lines[-1] += "msgspec.Struct, frozen=True, kw_only=True):"
        lines += [f'    """Section ``[{section}]``."""', ""]
        for key, spec in schema[section].items():
            lines += [f"    {key}: {SETTING_TYPES[spec['type']]}"]
            lines += [f'    """{spec["doc"]}"""']
    lines += ["", "", f"class {title}Settings(msgspec.Struct, frozen=True, "]
    lines[-1] += "kw_only=True):"
    lines += [f'    """{schema["doc"]}"""', ""]
    for section in sections:
        lines += [f"    {section}: {title}{section.title().replace('_', '')}"]
    lines += ["", "", f"{process.upper()}_SPEC: tuple[OptionSpec, ...] = ("]
    for section in sections:
        for key, spec in schema[section].items():
            extra = "".join(
                f", {name}={spec[name]!r}"
                for name in ("default", "minimum", "maximum")
                if name in spec
            )
            if "choices" in spec:
                extra += f", choices={tuple(spec['choices'])!r}"
            lines += [
                f"    OptionSpec(section={section!r}, key={key!r}, "
                f"kind={spec['type']!r}, doc={spec['doc']!r}{extra}),"
            ]
    lines += [")", "", "_ = (datetime, Address)"]
    return "\n".join(lines) + "\n"


def format_source(source: str) -> str:
    """Return `source` with sorted imports and formatted by ruff."""
    ruff = pathlib.Path(sys.executable).parent / "ruff"
    fixed = subprocess.run(
        [ruff, "check", "--fix", "--quiet", "--select", "I", "-"],
        input=source,
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
    ).stdout
    return subprocess.run(
        [ruff, "format", "-"],
        input=fixed,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    ).stdout


def render_files() -> dict[pathlib.Path, str]:
    """Return the source of every generated file by its path."""
    files = {}
    subjects = {
        p.stem: load_toml(p) for p in sorted((ROOT / "schema/messages").iterdir())
    }
    for subject, schema in subjects.items():
        path = MESSAGES / f"_{subject}_generated.py"
        files[path] = format_source(render_message_module(subject, schema))
    files[MESSAGES / "__init__.py"] = format_source(render_message_package(subjects))
    for path in sorted((ROOT / "schema/settings").iterdir()):
        target = SETTINGS / f"_{path.stem}_generated.py"
        files[target] = format_source(
            render_settings_module(path.stem, load_toml(path))
        )
    return files


def main() -> int:
    """Write or check the generated files; return the exit status."""
    check_only = "--check" in sys.argv[1:]
    stale_count = 0
    for path, source in render_files().items():
        if path.exists() and path.read_text() == source:
            continue
        stale_count += 1
        if check_only:
            print(f"{path.relative_to(ROOT)} differs from the schema", file=sys.stderr)
        else:
            path.write_text(source)
    return 1 if check_only and stale_count else 0


if __name__ == "__main__":
    sys.exit(main())
