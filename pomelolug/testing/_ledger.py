"""Record of the requests that the simulated backend servers executed."""

import enum

import msgspec

from pomelolug.clock import Clock

__all__ = ["Execution", "Ledger", "Violation", "ViolationKind"]


class ViolationKind(enum.Enum):
    """Invariant whose violation the backend servers detect."""

    SERVED_INCOMPLETE = "served_incomplete"
    VM_IN_TWO_GROUPS = "vm_in_two_groups"
    WORK_AFTER_LEAVING = "work_after_leaving"


class Execution(msgspec.Struct, kw_only=True):
    """One execution of a request.

    `started` and `ended` are in seconds since the Unix epoch; `ended` is 0 while
    the request runs. `key` is the idempotency key. `digest` is that of the prompt
    or of the body of the service request. `first_position` is the first token
    position and `tokens` the number of tokens sent. `complete` tells whether the
    end of the stream or the response was sent.
    """

    request_id: str
    key: str
    digest: str
    vm: str
    group: str
    token: int
    started: float
    ended: float = 0.0
    first_position: int = 0
    tokens: int = 0
    complete: bool = False


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One violation of an invariant, at a time in seconds since the Unix epoch."""

    kind: ViolationKind
    at: float
    vm: str
    detail: str


class _LedgerContents(msgspec.Struct, frozen=True, kw_only=True):
    executions: list[Execution]
    violations: list[Violation]
    refusals: dict[str, int]
    crashes: int
    now: float


class Ledger:
    """Executions, violations and refusals of one backend process.

    Parameters
    ----------
    clock : Clock
        Source of wall time.

    Attributes
    ----------
    crashes : int
        Number of VM crashes caused by requests with the crash marker.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._executions: list[Execution] = []
        self._violations: list[Violation] = []
        self._refusals: dict[str, int] = {}
        self.crashes = 0

    @property
    def executions(self) -> list[Execution]:
        """Executions, in order of their start."""
        return self._executions

    @property
    def violations(self) -> list[Violation]:
        """Violations, oldest first."""
        return self._violations

    def begin_execution(
        self,
        *,
        request_id: str,
        key: str,
        digest: str,
        vm: str,
        group: str = "",
        token: int = -1,
        first_position: int = 0,
    ) -> Execution:
        """Record the start of an execution."""
        execution = Execution(
            request_id=request_id,
            key=key,
            digest=digest,
            vm=vm,
            group=group,
            token=token,
            started=self._clock.now().timestamp(),
            first_position=first_position,
        )
        self._executions.append(execution)
        return execution

    def end_execution(self, execution: Execution) -> None:
        """Record the end of an execution."""
        execution.ended = self._clock.now().timestamp()

    def add_violation(self, kind: ViolationKind, vm: str, detail: str) -> None:
        """Record a violation."""
        at = self._clock.now().timestamp()
        self._violations.append(Violation(kind=kind, at=at, vm=vm, detail=detail))

    def count_refusal(self, code: str) -> None:
        """Count a refusal."""
        self._refusals[code] = self._refusals.get(code, 0) + 1

    def encode(self) -> bytes:
        """Return the whole ledger as JSON."""
        contents = _LedgerContents(
            executions=self._executions,
            violations=self._violations,
            refusals=self._refusals,
            crashes=self.crashes,
            now=self._clock.now().timestamp(),
        )
        return msgspec.json.encode(contents)
