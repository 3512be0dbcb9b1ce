"""Processor time of admission, group selection and accounting per request.

Run with ``python -m pomelolug.experiments.policy_cost``. The measurement has 75
groups, ten accounts, 100 requests in flight and no network. Requests that find no
free slot are measured with a full queue.
"""

import collections
import random
import time

import fire

from pomelolug.admission import AdmissionQueue, AdmissionRequest, Permit, Ticket
from pomelolug.errors import RequestError
from pomelolug.experiments._gateways import POOL, PolicyGateway
from pomelolug.experiments._simulated_deployment import WORK_CLASSES
from pomelolug.experiments._simulation import SimulatedGroup, Simulation
from pomelolug.ids import AccountId, FencingToken, GroupId, RequestId
from pomelolug.messages import RoutingTable
from pomelolug.routing import RoutingView

__all__ = ["main"]

_GROUP_COUNT = 75
_IN_FLIGHT = 100


def _make_gateway() -> PolicyGateway:
    simulation = Simulation()
    groups = [
        SimulatedGroup(simulation, name=f"g{i:02}", zone=f"z{i % 3}", capacity=580)
        for i in range(_GROUP_COUNT)
    ]
    gateway = PolicyGateway(
        simulation, groups, zone="z0", random_state=random.Random(1)
    )
    statuses = tuple(group.status(pool=POOL, load=400, age_s=0.5) for group in groups)
    table = RoutingTable(config_version=1, config=b"", groups=statuses, nodes_alive=390)
    gateway.on_table(table)
    return gateway


def _make_request(number: int) -> AdmissionRequest:
    return AdmissionRequest(
        request_id=RequestId(f"r{number}"),
        work_class=WORK_CLASSES[number % len(WORK_CLASSES)],
        account=AccountId(f"account{number % 10}"),
    )


def _dispatch(view: RoutingView, permit: Permit) -> GroupId:
    status = view.choose(POOL)
    if status is None:
        raise RuntimeError("no group is usable although all are serving")
    group = GroupId(status.group)
    view.is_dispatchable(group, FencingToken(status.token))
    view.on_dispatch(group, permit.request.request_id)
    permit.mark_dispatched()
    return group


def _discard_result(result: Permit | RequestError) -> None:
    return None


def _measure_admitted(requests: int) -> float:
    """Return the processor time of a request that is admitted, served and finished."""
    gateway = _make_gateway()
    running: collections.deque[tuple[GroupId, Permit]] = collections.deque()
    started_s = time.process_time()
    for number in range(requests):
        ticket: Ticket = gateway.admission.submit(
            _make_request(number), _discard_result
        )
        if ticket.permit is None:
            raise RuntimeError("no slot is free although the load is low")
        running.append((_dispatch(gateway.view, ticket.permit), ticket.permit))
        if len(running) > _IN_FLIGHT:
            group, permit = running.popleft()
            request_id = permit.request.request_id
            gateway.view.on_finish(group, request_id, ok=True, service_time_s=18.0)
            permit.release()
    return (time.process_time() - started_s) / requests


def _measure_without_slot(requests: int) -> float:
    """Return the processor time of a request that finds no free slot."""
    gateway = _make_gateway()
    admission: AdmissionQueue = gateway.admission
    number = 0
    while number < requests:
        number += 1
        try:
            admission.submit(_make_request(number), _discard_result)
        except RequestError:
            break
    started_s = time.process_time()
    for other in range(requests):
        try:
            admission.submit(_make_request(other), _discard_result)
        except RequestError:
            continue
    return (time.process_time() - started_s) / requests


def main(*, requests: int = 20_000) -> None:
    """Print the mean processor time per request in microseconds."""
    print(f"admitted, served and finished: {_measure_admitted(requests) * 1e6:.1f} us")
    print(f"queued or refused: {_measure_without_slot(requests) * 1e6:.1f} us")


if __name__ == "__main__":
    fire.Fire(main)
