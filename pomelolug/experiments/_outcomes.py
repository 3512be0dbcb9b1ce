"""Evaluation of the expected outcomes of a trace."""

from collections.abc import Mapping, Sequence

import msgspec

from pomelolug.experiments._trace import OutcomeSpec

__all__ = ["INVARIANTS", "OutcomeResult", "evaluate_outcomes"]

INVARIANTS = (
    OutcomeSpec(figure="lost", at_most=0, promise="1.2 no. 3"),
    OutcomeSpec(figure="crossed", at_most=0, promise="1.2 no. 3"),
    OutcomeSpec(figure="truncated", at_most=0, promise="1.2 no. 3"),
    OutcomeSpec(figure="not_run_but_executed", at_most=0, promise="1.2 no. 4"),
    OutcomeSpec(figure="doubled", at_most=0, promise="1.2 no. 5"),
    OutcomeSpec(figure="groups_served_incomplete", at_most=0, promise="1.2 no. 1"),
    OutcomeSpec(figure="vms_in_two_groups", at_most=0, promise="1.2 no. 2"),
    OutcomeSpec(figure="work_after_leaving", at_most=0, promise="1.2 no. 6"),
    OutcomeSpec(figure="config_versions", at_most=1, promise="1.2 no. 8"),
    OutcomeSpec(
        figure="config_current_share",
        at_least=1,
        promise="1.2 no. 8: in force everywhere",
    ),
    OutcomeSpec(figure="faults_failed", at_most=0, promise="the trace was driven"),
)
"""Outcomes required of every trace; see section 1.2 of the design page."""


class OutcomeResult(msgspec.Struct, frozen=True, kw_only=True):
    """An expected outcome with its bounds, the measured value and the result.

    `value` is None if the run did not measure the figure; the outcome then fails.
    """

    figure: str
    promise: str
    at_least: float | None
    at_most: float | None
    value: float | None
    passed: bool


def evaluate_outcomes(
    outcomes: Sequence[OutcomeSpec], figures: Mapping[str, float | None]
) -> list[OutcomeResult]:
    """Check `figures` against the invariants and the outcomes of a trace.

    Examples
    --------
    >>> from pomelolug.experiments._trace import OutcomeSpec
    >>> spec = OutcomeSpec(figure="answered_share", at_least=0.9)
    >>> evaluate_outcomes([spec], {"answered_share": 0.5})[-1].passed
    False
    """
    return [_evaluate_outcome(item, figures) for item in (*INVARIANTS, *outcomes)]


def _evaluate_outcome(
    outcome: OutcomeSpec, figures: Mapping[str, float | None]
) -> OutcomeResult:
    # An error code that no call received has no figure and counts as 0.
    default = 0.0 if outcome.figure.startswith("code.") else None
    value = figures.get(outcome.figure, default)
    passed = value is not None
    if value is not None and outcome.at_most is not None:
        passed = passed and value <= outcome.at_most
    if value is not None and outcome.at_least is not None:
        passed = passed and value >= outcome.at_least
    return OutcomeResult(
        figure=outcome.figure,
        promise=outcome.promise,
        at_least=outcome.at_least,
        at_most=outcome.at_most,
        value=value,
        passed=passed,
    )
