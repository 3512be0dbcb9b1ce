"""Mutations of the product, each of which a soak has to detect.

``python -m pomelolug.experiments.soak.tests.faults [--only NAME]`` runs each
with its seed and prints the violation; the exit status is 1 if one is missed.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import fire
import msgspec

from pomelolug.claims import ClaimClient, ClaimState, ClaimTicket, Verdict
from pomelolug.claims._fold import ClaimsFold
from pomelolug.claims._relay import ClaimRelay
from pomelolug.configuration import ConfigurationFold
from pomelolug.control._process import ControlProcess
from pomelolug.control._streams import StreamFollower
from pomelolug.control._tables import RoutingTableBuilder
from pomelolug.engines import StreamEnd
from pomelolug.errors import Outcome
from pomelolug.experiments.soak._run import run_soak
from pomelolug.gateway import _attempt, _model_flow, _request_errors
from pomelolug.gateway import _compose as gateway_compose
from pomelolug.gateway._attempt import AttemptResult
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.groups import GroupController, GroupsFold, GroupWatcher
from pomelolug.groups import _watcher as watcher_module
from pomelolug.groups._inventory import Inventory
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import Claim
from pomelolug.retries import Containment, RunMode
from pomelolug.routing import RoutingView
from pomelolug.routing._group_tracker import GroupTracker

VIRTUAL_S = 60.0
MAX_SEEDS = 4


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Mutation, how it is applied, and the seed and violation that reveal it."""

    apply: Callable[[], None]
    seed: int
    expected_violation: str
    script: tuple[tuple[float, str], ...] = ()


def claim_skipped():
    async def claim(self, key, body):
        return ClaimTicket(
            Claim(key=key, body=body, node="", incarnation=0, nonce=b"x"),
            Verdict.GRANTED,
            valid_until_s=float("inf"),
            clock=self._clock,
            report_update=lambda update: None,
        )

    ClaimClient.claim = claim


def cut_taken_for_end():
    original = _attempt.run_attempt

    async def run_attempt(engine, address, request, sink, progress, **options):
        result = await original(engine, address, request, sink, progress, **options)
        if result is AttemptResult.CUT and progress.position:
            await sink.finish(progress.position, "stop")
            return AttemptResult.COMPLETE
        return result

    _model_flow.run_attempt = run_attempt


def not_run_always_said():
    _request_errors._outcome = lambda maybe_ran: Outcome.NOT_RUN
    InvariantChecker.correct_outcome = lambda self, error, **place: error


def resumed_from_the_start():
    original = _model_flow.GenerationRequest

    def request(**fields):
        return original(**{**fields, "resume_from": 0})

    _model_flow.GenerationRequest = request

    # Token positions are not compared either: all tokens are passed on.
    async def run_attempt(engine, address, request, sink, progress, **options):
        try:
            async for event in engine.generate(address, request):
                if isinstance(event, StreamEnd):
                    await sink.finish(event.token_count, event.finish_reason)
                    return AttemptResult.COMPLETE
                await sink.write_token(event.position, event.text)
                progress.on_token(options["clock"].monotonic())
        except Exception:
            return AttemptResult.CUT
        return AttemptResult.CUT

    _model_flow.run_attempt = run_attempt


def old_table_trusted():
    RoutingView.is_dispatchable = lambda self, group_id, token: True
    GroupTracker.is_verified = lambda self, now: True
    GroupTracker.is_usable = lambda self, now: self.status.phase == "serving"

    async def run_direct_verification(*args, **options):
        await asyncio.Event().wait()

    gateway_compose.run_direct_verification = run_direct_verification


def evidence_ignored():
    watcher_module.find_mismatch = lambda group, member, status: ""
    GroupWatcher._record_missed_probe = lambda self, observation, reason: None
    GroupWatcher._verified_age_s = lambda self: 0.0
    GroupWatcher._enforce_verified_members = lambda self, phase: phase


def ownership_unchecked():
    GroupsFold.owner = lambda self, vm: None
    GroupsFold.last_change = lambda self, vm: -1
    GroupController._is_ownership_exclusive = lambda self: True


def base_version_ignored():
    original = ConfigurationFold.apply

    def apply(self, record):
        version = ConfigurationFold.version
        try:
            ConfigurationFold.version = property(lambda fold: _base_version(record))
            original(self, record)
        finally:
            ConfigurationFold.version = version

    ConfigurationFold.apply = apply


def _base_version(record):
    from pomelolug.messages import ConfigurationChange, decode

    return decode(record.body, ConfigurationChange).base_version


def peers_not_asked():
    StreamFollower._request_from_peers = lambda self: None


def leaving_ignored():
    RoutingTableBuilder._leaving_vms = lambda self: frozenset()
    Inventory.is_leaving = lambda self, vm: False
    original = GroupWatcher._next_phase

    def next_phase(self):
        for member in self._observations.values():
            if member.status is not None and member.status.leaving:
                member.status = msgspec.structs.replace(member.status, leaving=False)
        return original(self)

    GroupWatcher._next_phase = next_phase


def containment_off():
    Containment.run_mode = lambda self, fingerprint: RunMode.NORMAL
    Suspicions.count = lambda self, fingerprint: 0


def lost_claims_released():
    def mark_claims_unknown(self, node, *, before_incarnation=None):
        for key, held in list(self._fold.held_claims(node)):
            self._queue_update(ClaimUpdate(key=key, nonce=held.nonce, state="released"))
        return 0

    from pomelolug.messages import ClaimUpdate

    ClaimRelay.mark_claims_unknown = mark_claims_unknown


def answered_claims_forgotten():
    original = ClaimsFold._apply_update

    def update(self, message):
        if message.state == ClaimState.ANSWERED.value:
            self._winning_claims.pop(message.key, None)
            return
        original(self, message)

    ClaimsFold._apply_update = update


def configuration_not_pushed():
    ControlProcess._on_configuration = lambda self: None
    RoutingTableBuilder._encode_configuration = lambda self, configuration: b""


MEMBER_DEATHS = tuple((5.0 * n, "member_death") for n in range(1, 9))
CRASHING_REQUESTS = tuple((8.0 * n, "crashing_request") for n in range(1, 5))
LEAVING_VMS = tuple((4.0 * n, "leaving_vm") for n in range(1, 6))
OPERATOR_RACES = ((5.0, "operators_race"), (20.0, "operators_race"))
ENTRY_VM_LOSSES = tuple((3.0 * n, "entry_vm_lost") for n in range(1, 12))
CONTROL_LOSSES = tuple((4.0 * n, "control_lost") for n in range(1, 13)) + MEMBER_DEATHS
LOG_CUTS = tuple((6.0 * n, "log_cut_off_zone") for n in range(1, 6)) + tuple(
    (8.0 * n, "configuration_change") for n in range(1, 6)
)
CONFIGURATION_CHANGES = tuple((10.0 * n, "configuration_change") for n in range(1, 5))

MUTATIONS = {
    "claim_skipped": Mutation(claim_skipped, 1, "doubled"),
    "cut_taken_for_end": Mutation(
        cut_taken_for_end, 1, "crossed or truncated", MEMBER_DEATHS
    ),
    "not_run_always_said": Mutation(
        not_run_always_said, 2, "not run was said", MEMBER_DEATHS
    ),
    "resumed_from_the_start": Mutation(
        resumed_from_the_start, 2, "crossed or truncated", MEMBER_DEATHS
    ),
    "old_table_trusted": Mutation(
        old_table_trusted, 1, "serves without", CONTROL_LOSSES
    ),
    "evidence_ignored": Mutation(evidence_ignored, 1, "serves without", MEMBER_DEATHS),
    "ownership_unchecked": Mutation(ownership_unchecked, 1, "not converged"),
    "base_version_ignored": Mutation(
        base_version_ignored, 1, "racing operators", OPERATOR_RACES
    ),
    "peers_not_asked": Mutation(peers_not_asked, 2, "has version", LOG_CUTS),
    "leaving_ignored": Mutation(leaving_ignored, 1, "after leaving", LEAVING_VMS),
    "containment_off": Mutation(containment_off, 1, "crashed", CRASHING_REQUESTS),
    "lost_claims_released": Mutation(
        lost_claims_released, 2, "doubled", ENTRY_VM_LOSSES
    ),
    "answered_claims_forgotten": Mutation(answered_claims_forgotten, 1, "doubled"),
    "configuration_not_pushed": Mutation(
        configuration_not_pushed, 1, "has version", CONFIGURATION_CHANGES
    ),
}


def find_violation(
    name: str, seed: int = 0, virtual_s: float = VIRTUAL_S
) -> tuple[str, int, str]:
    """Apply a mutation and return its name, the seed and the first matching violation.

    Every change of the product changes what a seed draws, so the following seeds
    are tried if the given one reveals nothing.
    """
    mutation = MUTATIONS[name]
    mutation.apply()
    first_seed = seed or mutation.seed
    for tried_seed in range(first_seed, first_seed + MAX_SEEDS):
        report = run_soak(seed=tried_seed, virtual_s=virtual_s, script=mutation.script)
        matching = [
            line for line in report.violations if mutation.expected_violation in line
        ]
        if matching:
            return name, tried_seed, matching[0]
    return name, first_seed + MAX_SEEDS - 1, ""


def main(only: str = "", seed: int = 0, workers: int = 3) -> None:
    """Run all mutations, or the one named `only`, and print the violations."""
    names = [only] if only else list(MUTATIONS)
    missed = 0
    with ProcessPoolExecutor(workers, max_tasks_per_child=1) as pool:
        for name, used_seed, line in pool.map(
            find_violation, names, [seed] * len(names)
        ):
            missed += MUTATIONS[name].expected_violation not in line
            print(f"{name} seed {used_seed}: {line or 'not found'}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    fire.Fire(main)
