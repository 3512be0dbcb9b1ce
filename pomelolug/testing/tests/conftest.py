import datetime
from collections.abc import AsyncIterator

import aiohttp
import pytest

from pomelolug.engines import AssignOrder, GenerationRequest, HttpEngineClient
from pomelolug.testing._engine_vm import EngineTimes
from pomelolug.testing._fleet import BackendServer
from pomelolug.testing.backend_server import FleetPlan, start_backends

TIMEOUT = datetime.timedelta(seconds=1)
FAST = EngineTimes(
    first_token=datetime.timedelta(milliseconds=4),
    first_token_cached=datetime.timedelta(milliseconds=1),
    step=datetime.timedelta(milliseconds=2),
)


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def engine(session: aiohttp.ClientSession) -> HttpEngineClient:
    return HttpEngineClient(session)


@pytest.fixture
async def backends():
    plan = FleetPlan(engines=4, services=1, capacity=2, times=FAST, model_bytes=1)
    backends = await start_backends(plan)
    yield backends
    await backends.close()


async def form_group(
    engine: HttpEngineClient,
    members: list[BackendServer],
    *,
    group: str = "g",
    token: int = 1,
) -> str:
    """Assign `members` to a group, load its model and return the leader's address."""
    addresses = tuple(member.vm.address for member in members)
    for rank, member in enumerate(members):
        order = AssignOrder(
            group=group, token=token, rank=rank, members=addresses, model="m"
        )
        await engine.assign(member.vm.address, order, timeout=TIMEOUT)
        member.vm.receive_weights(1)
    return addresses[0]


def generation_request(
    prompt: str = "p", *, tokens: int = 5, **options
) -> GenerationRequest:
    fields = {"request_id": "r1", "group": "g", "token": 1, **options}
    body = {"prompt": prompt, "max_tokens": tokens}
    return GenerationRequest(body=body, **fields)
