"""Which parts of prompts are refused, for patterns of losses, without a network."""

import asyncio
import random

import pytest

from pomelolug.entry.losses import PoisonRequestDetector, RequestIdentity
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
PART = "part-digest"
CRASHES = 5
KNOWLEDGE_BOUND_S = 3.0
LATE_REQUESTS = 3


def record(detector: PoisonRequestDetector, request: str, loss: str) -> None:
    identity = RequestIdentity(f"{request:0<16}", (PART,))
    detector.record_loss(PART, identity.part_loss_id(f"{loss:0<16}"))


async def test_part_is_refused_after_losses_with_different_requests():
    # Guards against a part that is recognised only together with the whole request.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(3):
        assert not detector.is_quarantined(PART)
        record(detector, f"r{number}", f"l{number}")
        await asyncio.sleep(1.0)
    assert detector.is_quarantined(PART)


async def test_part_is_refused_when_two_requests_have_crashed_five_servers():
    # Guards against a third request that may crash three servers more, long after the
    # fifth crash.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(5):
        assert not detector.is_quarantined(PART)
        record(detector, f"r{number // 3}", f"l{number}")
        await asyncio.sleep(0.5)
    assert detector.is_quarantined(PART)


async def test_one_request_that_crashes_servers_does_not_condemn_its_parts():
    # Guards against the harmless parts of a request that crashes servers by itself.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(6):
        record(detector, "r", f"l{number}")
        await asyncio.sleep(1.0)
    assert not detector.is_quarantined(PART)


async def test_one_lost_server_does_not_condemn_the_parts_of_its_requests():
    # Guards against a popular part of many requests that waited at one lost group.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(6):
        record(detector, f"r{number}", "l")
        await asyncio.sleep(1.0)
    assert not detector.is_quarantined(PART)


async def test_lost_domain_does_not_condemn_popular_parts():
    # Guards against a part that many requests share and that is refused because several
    # groups are lost at the same moment.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(12):
        record(detector, f"r{number}", f"l{number % 4}")
        await asyncio.sleep(0.1)
    assert not detector.is_quarantined(PART)


async def test_answer_on_a_part_clears_its_losses_on_all_nodes():
    # Guards against a harmless part that stays suspected, or is suspected by others.
    nodes = [PoisonRequestDetector(clock=LoopClock()) for _ in range(2)]
    for number in range(4):
        record(nodes[0], f"r{number}", f"l{number}")
        await asyncio.sleep(1.0)
    nodes[1].merge(
        nodes[0].losses_to_send(), cleared={}, is_own_zone=True, source="node-0"
    )
    assert nodes[0].is_quarantined(PART)
    nodes[1].acquit(PART)
    nodes[0].merge(
        {}, cleared=nodes[1].cleared_to_send(), is_own_zone=True, source="node-1"
    )
    assert not nodes[0].is_quarantined(PART) and not nodes[1].is_quarantined(PART)


@pytest.mark.parametrize("random_state", range(20))
async def test_deadly_part_is_found_among_popular_and_rare_ones(random_state):
    # Pattern: 20 requests a second on 60 parts of uneven popularity; one in twenty also
    # has a part that ends its server, with the two requests that wait there.
    rng = random.Random(random_state)
    detector = PoisonRequestDetector(clock=LoopClock())
    parts = [f"part-{k}" for k in range(60)]
    weights = [1.0 / (k + 1) ** 0.5 for k in range(60)]
    crashes_s: list[float] = []
    late = refused_harmless = 0
    for number in range(20 * 20):
        now_s = asyncio.get_running_loop().time()
        (part,) = rng.choices(parts, weights)
        is_deadly = rng.random() < 0.05
        identity = RequestIdentity(
            f"{number:08x}", (part, PART) if is_deadly else (part,)
        )
        if detector.refusal_left_s(identity) > 0.0:
            refused_harmless += not is_deadly
        elif is_deadly:
            if len(crashes_s) >= CRASHES:
                late += now_s > crashes_s[CRASHES - 1] + KNOWLEDGE_BOUND_S
            crashes_s.append(now_s)
            waiting = [
                RequestIdentity(f"{number:06x}{k:02x}", (other,))
                for k, other in enumerate(rng.choices(parts, weights, k=2))
            ]
            for lost in (identity, *waiting):
                for fingerprint in lost.prompt_parts:
                    loss_id = lost.part_loss_id(f"{len(crashes_s):08x}")
                    detector.record_loss(fingerprint, loss_id)
        else:
            detector.record_answer(part)
        await asyncio.sleep(0.05)
    assert late <= LATE_REQUESTS
    assert refused_harmless == 0
    assert detector.is_quarantined(PART)


def loses(
    detector: PoisonRequestDetector, loss: str, *requests: tuple[str, str, str]
) -> None:
    """Record the loss of a server that ran requests, each with a name and two parts."""
    for name, *parts in requests:
        identity = RequestIdentity(f"{name:0<16}", tuple(p for p in parts if p))
        for part in identity.prompt_parts:
            detector.record_loss(part, identity.part_loss_id(f"{loss:0<16}"))


def refuses(detector: PoisonRequestDetector, *parts: str) -> bool:
    return detector.refusal_left_s(RequestIdentity("new", parts)) > 0.0


async def test_loss_of_all_groups_at_once_condemns_only_the_part_that_explains_it():
    # Guards against popular parts that are refused for minutes because all groups of a
    # model were lost and no answer could clear them before the next loss.
    detector = PoisonRequestDetector(clock=LoopClock())
    for group in range(6):
        deadly = (f"d{group // 3}", "first", PART)
        waiting = [(f"w{group}{k}", f"popular{k}", "") for k in range(8)]
        loses(detector, f"l{group}", deadly, *waiting)
        detector.record_answer("popular0")
    # Nothing is answered until the groups are back.
    assert refuses(detector, "first", PART)
    await asyncio.sleep(4.0)
    loses(detector, "l9", ("d9", "other", PART), *[("w9", "popular0", "")])
    assert refuses(detector, "other", PART)
    for k in range(8):
        assert not refuses(detector, f"popular{k}")
    assert not refuses(detector, "first") and not refuses(detector, "other")


async def test_part_that_always_comes_with_another_is_refused_only_together():
    # Guards against the harmless first part of all requests with a part that crashes
    # servers: a request with the first part alone has to show which one it is.
    detector = PoisonRequestDetector(clock=LoopClock())
    for number in range(4):
        loses(detector, f"l{number}", (f"d{number}", "first", PART))
        await asyncio.sleep(1.0)
    assert refuses(detector, "first", PART)
    assert not refuses(detector, "first") and not refuses(detector, PART)
    detector.record_answer("first")
    assert refuses(detector, PART) and refuses(detector, "second", PART)
    assert not refuses(detector, "first")


async def test_part_that_was_answered_lately_needs_more_losses():
    # Guards against popular parts that are refused after a domain and a further group
    # are lost.
    detector = PoisonRequestDetector(clock=LoopClock())
    detector.record_answer(PART)
    for number in range(4):
        loses(detector, f"l{number}", (f"r{number}", PART, ""))
        await asyncio.sleep(1.0)
    assert not refuses(detector, PART)
    loses(detector, "l9", ("r9", PART, ""))
    assert refuses(detector, PART)


async def test_losses_that_a_part_explains_do_not_condemn_requests_beside_it():
    # Guards against harmless requests that were moved from group to group together with
    # one that crashes them.
    detector = PoisonRequestDetector(clock=LoopClock())
    beside = RequestIdentity("beside0000000000", ("popular",))
    for number in range(4):
        loss_id = f"l{number:0<15}"
        detector.record_loss(beside.request, loss_id)
        loses(detector, loss_id, (f"d{number}", "first", PART))
        await asyncio.sleep(0.2)
    assert detector.refusal_left_s(beside) > 0.0
    await asyncio.sleep(2.0)
    loses(detector, "l9", ("d9", "first", PART))
    assert refuses(detector, "first", PART)
    assert detector.refusal_left_s(beside) == 0.0


async def test_part_is_tried_again_by_one_node_before_the_others():
    # Guards against a popular part that is refused for long since no answer can clear
    # it, and against all nodes trying one that crashes servers at the same moment.
    nodes = [
        PoisonRequestDetector(clock=LoopClock(), part_quarantine_factor=factor)
        for factor in (1.0, 1.5)
    ]
    for number in range(5):
        for node in nodes:
            loses(node, f"l{number}", (f"r{number}", PART, ""))
        await asyncio.sleep(1.0)
    assert all(refuses(node, PART) for node in nodes)
    await asyncio.sleep(30.0)
    assert [refuses(node, PART) for node in nodes] == [False, True]
    for node in nodes:
        loses(node, "l9", ("r9", PART, ""))
    await asyncio.sleep(290.0)
    assert all(refuses(node, PART) for node in nodes)


async def test_request_that_goes_on_crashing_servers_is_refused_beside_a_part():
    # Guards against a request that crashes servers by itself and is excused for long,
    # because requests with such a part ran beside it.
    detector = PoisonRequestDetector(clock=LoopClock())
    alone = RequestIdentity("alone00000000000")
    for number in range(5):
        loss_id = f"l{number:0<15}"
        detector.record_loss(alone.request, loss_id)
        loses(detector, loss_id, (f"d{number}", "first", PART))
    assert refuses(detector, "first", PART)
    detector.record_loss(alone.request, "own0000000000000")
    assert detector.refusal_left_s(alone) > 0.0
