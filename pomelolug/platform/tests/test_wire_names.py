"""Test that only the adapter of the platform uses its wire names."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
_ADAPTER_PACKAGES = ("platform", "testing")
_WIRE_NAMES = re.compile(
    r"Response-Seal|Not-Executed|Expect-Instance|(?<!X-)Deadline-Ms|Prompt-Prefix"
    r"|Token-Count|Request-Urgency|Weight-Versions|Length-Hint|At-Server"
    r"|log-append|log-newest|log-read|log-join|log-commit|/-/|keyed\."
    r"|path_prefix|target_latency_ms|max_attempts\"|gap_target_ms|api_keys"
    r"|retain_count|close_mode|cold_remaining|Server-Limit|Store-Era|POMELOLUG_SETTINGS"
    r"|Pomelolug-"
)


def test_no_module_outside_the_adapter_uses_wire_names():
    # The platform's names must not spread to packages that do not talk to it.
    found = []
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if parts[0] in _ADAPTER_PACKAGES or "tests" in parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if _WIRE_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert found == []
