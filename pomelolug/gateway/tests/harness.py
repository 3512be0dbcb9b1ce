"""Model request handler with a fake engine and control process, for tests."""

import asyncio
import dataclasses
import datetime
import random

from prometheus_client import CollectorRegistry

from pomelolug.admission import AdmissionQueue
from pomelolug.claims import ClaimClient
from pomelolug.configuration import Account, WorkClass
from pomelolug.gateway._claiming import Claimant
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._model_flow import ModelRequestHandler
from pomelolug.gateway._parsing import CallerRequest
from pomelolug.gateway._placement import Placement
from pomelolug.gateway._sinks import ResponseSink
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import (
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    GroupStatus,
    RoutingTable,
)
from pomelolug.retries import Containment, RetryBudget, RunMode
from pomelolug.routing import RoutingView
from pomelolug.testing import LoopClock

LEASE = datetime.timedelta(seconds=3)
WRITE_TIMEOUT = datetime.timedelta(seconds=5)


def status(group="g1", *, token=1, phase="serving", domain="d1", age_s=0.0):
    return GroupStatus(
        group=group,
        pool="p",
        model="m",
        zone="z1",
        domain=domain,
        token=token,
        phase=phase,
        leader=f"{group}-leader",
        members=(f"{group}-a", f"{group}-b"),
        verified_age_s=age_s,
        capacity=8,
        load=0,
    )


def table(*groups, condemned=()):
    return RoutingTable(
        config_version=1, config=b"", groups=groups, condemned=condemned
    )


def request(*, idempotent=True, key="", body=b"{}", max_tokens=4, deadline_s=30):
    return CallerRequest(
        request_id="r1",
        account=Account(name="acme", keys=()),
        work_class=WorkClass(
            name="c",
            priority=1,
            pool="p",
            ttft_target=datetime.timedelta(seconds=0.99),
            gap_target=datetime.timedelta(milliseconds=44),
            deadline=datetime.timedelta(seconds=deadline_s),
            idempotent=idempotent,
        ),
        idempotent=idempotent,
        idempotency_key=key,
        body=body,
        completion={"model": "m", "prompt": "x", "max_tokens": max_tokens},
    )


class ListSink(ResponseSink):
    def __init__(self, *, write_delay_s=0.0):
        self.texts = []
        self.end_token_count = None
        self.error = None
        self._write_delay_s = write_delay_s

    @property
    def has_started(self):
        return bool(self.texts)

    async def write_token(self, position, text):
        if self._write_delay_s:
            await asyncio.sleep(self._write_delay_s)
        self.texts.append((position, text))

    async def finish(self, tokens, reason):
        self.end_token_count = tokens

    async def fail(self, error):
        self.error = error


@dataclasses.dataclass
class FakeControl:
    """Fake control process that responds to each claim with `verdict`."""

    verdict: str = "granted"
    updates: list = dataclasses.field(default_factory=list)
    claim_count: int = 0
    client: ClaimClient | None = None

    def send(self, message):
        match message:
            case ClaimRequest():
                self.claim_count += 1
                claim_verdict = ClaimVerdict(
                    serial=message.serial, verdict=self.verdict
                )
                asyncio.get_running_loop().call_soon(
                    self.client.on_verdict, claim_verdict
                )
            case ClaimUpdate():
                self.updates.append(message.state)
        return True


class ModelHandlerHarness:
    """Model request handler and its collaborators."""

    def __init__(self, engine, *, verdict="granted", budget=None):
        clock = LoopClock()
        self.clock = clock
        self.control = FakeControl(verdict)
        self.control.client = ClaimClient(
            node="n1",
            incarnation=1,
            send=self.control.send,
            clock=clock,
            random_state=random.Random(1),
        )
        self.view = RoutingView(
            zone="z1", lease=LEASE, clock=clock, random_state=random.Random(1)
        )
        self.queue = AdmissionQueue(
            clock=clock, free_slots=self.view.free_slots, random_state=random.Random(1)
        )
        self.containment = Containment(clock=clock)
        self.suspicions = Suspicions(clock=clock)
        self.loss_reports = []
        self.losses = LossReporter(
            node="n1",
            clock=clock,
            has_strike=lambda p: self.containment.run_mode(p) is not RunMode.NORMAL,
            on_loss=self._on_loss,
            on_suspicion=self.suspicions.add,
        )
        self.placement = Placement(
            view=self.view,
            containment=self.containment,
            suspicions=self.suspicions,
            losses=self.losses,
            clock=clock,
        )
        self.violations = []
        self.registry = CollectorRegistry()
        self.metrics = GatewayMetrics(self.registry)
        self.handler = ModelRequestHandler(
            engine=engine,
            view=self.view,
            queue=self.queue,
            claims=Claimant(
                client=self.control.client,
                clock=clock,
                window=datetime.timedelta(hours=1),
            ),
            budget=budget or RetryBudget(clock=clock),
            containment=self.containment,
            losses=self.losses,
            placement=self.placement,
            invariants=InvariantChecker(self.violations.append),
            metrics=self.metrics,
            decisions=DecisionLog(lambda explanation: None),
            clock=clock,
            write_timeout=WRITE_TIMEOUT,
        )

    def _on_loss(self, report):
        self.loss_reports.append(report)
        self.containment.on_loss(report)
        self.suspicions.on_loss(report)

    def update(self, *groups):
        new = table(*groups)
        self.view.update(new)
        self.losses.on_table(new)
        self.suspicions.on_table(new)
        self.queue.notify()
