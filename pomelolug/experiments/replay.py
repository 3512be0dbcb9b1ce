"""Replay traces and check their expected outcomes.

Run ``python -m pomelolug.experiments.replay traces/NAME.toml ...``; without
arguments it replays every trace. The last line of standard output is a JSON
object with the expected outcomes of all traces, their bounds, the measured
figures and whether they passed. The exit status is 1 if an outcome was outside
its bounds or a trace could not be run. See docs/trace-format.md for the format.
"""

import asyncio
import pathlib
import sys
from typing import Any

import fire
import msgspec
import structlog

from pomelolug.experiments._command import (
    TRACE_DIRECTORY,
    run_in_directory,
    run_interruptible,
)
from pomelolug.experiments._outcomes import evaluate_outcomes
from pomelolug.experiments._trace import Trace, load_trace

__all__ = ["main", "replay_trace"]

_log = structlog.get_logger()


async def replay_trace(trace: Trace, logs: str = "") -> dict[str, Any]:
    """Run `trace` and return the results of its expected outcomes.

    An error of the run is returned as a failed result, so that the remaining
    traces are still replayed.
    """
    try:
        result = await run_in_directory(trace, logs)
    except (OSError, RuntimeError, TimeoutError) as error:
        _log.error("trace_failed", trace=trace.name, error=str(error)[-2000:])
        return {
            "trace": trace.name,
            "passed": False,
            "error": str(error)[-500:],
            "outcomes": [],
        }
    outcomes = evaluate_outcomes(trace.outcomes, result.figures)
    return {
        "trace": trace.name,
        "passed": all(item.passed for item in outcomes),
        "outcomes": msgspec.to_builtins(outcomes),
        "figures": dict(result.figures),
    }


async def _replay_traces(traces: list[Trace], logs: str) -> list[dict[str, Any]]:
    results = []
    for trace in traces:
        result = await replay_trace(trace, logs)
        print(msgspec.json.encode(result).decode(), flush=True)
        results.append(result)
        await asyncio.sleep(0)
    return results


def main(*paths: str, logs: str = "") -> None:
    """Replay the traces in `paths`, or every trace if there are none.

    Parameters
    ----------
    *paths : str
        Paths of trace files.
    logs : str
        Directory for settings and logs; empty for a temporary one.
    """
    files = [pathlib.Path(path) for path in paths] or sorted(
        TRACE_DIRECTORY.glob("*.toml")
    )
    traces = [load_trace(path) for path in files]
    results = run_interruptible(_replay_traces(traces, logs))
    summary = {
        "passed": all(result["passed"] for result in results),
        "traces": {
            result["trace"]: {
                key: result[key]
                for key in ("passed", "error", "outcomes")
                if key in result
            }
            for result in results
        },
    }
    print(msgspec.json.encode(summary).decode(), flush=True)
    sys.exit(0 if summary["passed"] else 1)


if __name__ == "__main__":
    fire.Fire(main)
