"""Requests that crash servers are refused, and harmless ones are served."""

import asyncio

import pytest

from pomelolug.entry.losses import PoisonRequestDetector, compute_fingerprint
from pomelolug.entry.tests.harness import MODEL, Harness, encode_event, start_stream
from pomelolug.ids import AccountId
from pomelolug.testing import LoopClock
from pomelolug.transport import HttpConnectionError

DAY_S = 86400.0


def tell(sender: PoisonRequestDetector, receiver: PoisonRequestDetector) -> None:
    receiver.merge(
        sender.losses_to_send(),
        cleared=sender.cleared_to_send(),
        is_own_zone=True,
        source="peer",
    )


@pytest.mark.looptime
async def test_losses_seen_by_all_nodes_are_added_up():
    # Guards against a request that may crash three servers through each node.
    nodes = [PoisonRequestDetector(clock=LoopClock()) for _ in range(3)]
    request_fingerprint = compute_fingerprint(AccountId("a"), b"/x", b"body")
    for number, node in enumerate(nodes):
        node.record_loss(request_fingerprint, f"s{number}")
    for node in nodes:
        for other in nodes:
            tell(other, node)
    assert all(node.is_quarantined(request_fingerprint) for node in nodes)


@pytest.mark.looptime
async def test_loss_that_is_reported_repeatedly_counts_once():
    # Guards against a harmless request that is refused after one loss.
    node = PoisonRequestDetector(clock=LoopClock())
    request_fingerprint = compute_fingerprint(None, b"/x", b"")
    node.record_loss(request_fingerprint, "s1")
    for _ in range(5):
        tell(node, node)
    assert not node.is_quarantined(request_fingerprint)


@pytest.mark.looptime
async def test_silence_of_servers_that_may_still_answer_is_not_told():
    # Guards against a harmless request that other nodes refuse because it was sent to
    # a second server while the first one paused.
    node = PoisonRequestDetector(clock=LoopClock())
    other = PoisonRequestDetector(clock=LoopClock())
    request_fingerprint = compute_fingerprint(None, b"/x", b"")
    for number in range(3):
        node.record_loss(
            request_fingerprint, f"s{number}", is_suspicion=True, is_running=True
        )
    tell(node, other)
    assert node.is_quarantined(request_fingerprint)
    assert node.shared_losses() == []
    assert other.loss_count(request_fingerprint) == 0
    for number in range(3):
        node.record_loss(request_fingerprint, f"s{number}", is_suspicion=True)
    tell(node, other)
    assert other.is_quarantined(request_fingerprint)


@pytest.mark.looptime
async def test_quarantine_ends_and_old_losses_are_forgotten():
    # Guards against unbounded memory and a request that is refused forever.
    node = PoisonRequestDetector(clock=LoopClock())
    request_fingerprint = compute_fingerprint(None, b"/x", b"")
    for number in range(3):
        node.record_loss(request_fingerprint, f"s{number}")
    assert node.quarantine_left_s(request_fingerprint) == 300
    await asyncio.sleep(301)
    assert not node.is_quarantined(request_fingerprint)
    await asyncio.sleep(DAY_S)
    node.record_loss(compute_fingerprint(None, b"/y", b""), "s9")
    assert node.loss_count(request_fingerprint) == 0


@pytest.mark.looptime
async def test_request_that_still_crashes_servers_is_tried_three_times_a_day():
    # Guards against three more losses after each end of a quarantine.
    node = PoisonRequestDetector(clock=LoopClock())
    request_fingerprint = compute_fingerprint(None, b"/x", b"")
    for number in range(3):
        node.record_loss(request_fingerprint, f"s{number}")
    tries = 0
    for _ in range(int(DAY_S / 60) - 1):
        if not node.is_quarantined(request_fingerprint):
            tries += 1
            node.record_loss(request_fingerprint, f"later{tries}")
        await asyncio.sleep(60)
    assert tries <= 3


@pytest.mark.looptime
async def test_request_that_a_server_answers_is_not_refused_for_earlier_losses():
    # Guards against a harmless request that is often sent, also while servers end.
    node = PoisonRequestDetector(clock=LoopClock())
    reporter = PoisonRequestDetector(clock=LoopClock())
    request_fingerprint = compute_fingerprint(None, b"/status", b"")
    for number in range(5):
        reporter.record_loss(request_fingerprint, f"s{number}")
        node.record_loss(request_fingerprint, f"s{number}")
        node.acquit(request_fingerprint)
        tell(reporter, node)
    assert node.loss_count(request_fingerprint) == 0


@pytest.mark.looptime
async def test_requests_with_the_most_losses_are_kept():
    # Guards against a crashing request that is forgotten for the many requests that
    # were running beside it.
    node = PoisonRequestDetector(clock=LoopClock())
    for number in range(3):
        node.record_loss("crashing", f"s{number}")
    for number in range(5000):
        node.record_loss(f"beside{number}", "s0")
    assert node.is_quarantined("crashing")


async def test_request_that_crashes_servers_is_refused_and_others_are_served():
    # Guards against a single request that crashes one group after another.
    runs = []

    async def script(request):
        start_stream(request)
        request.send_chunk(encode_event(0))
        if request.body == b"poison":
            runs.append(request)
            await request.writer.drain()
            await asyncio.sleep(0.02)
            request.reset()
            return
        request.send_chunk(b"")

    async with Harness() as h:
        for _ in range(6):
            await h.add_server(script, service="llm")
        await h.start()
        headers = {"Model": MODEL, "Token_Count": "100,50"}
        for number in range(4):
            try:
                head, _ = await h.request(
                    "/stream/x",
                    method=b"POST",
                    body=b"poison",
                    request_id=f"p{number}",
                    **headers,
                )
                status = head.status
            except HttpConnectionError:
                status = 0
        assert status == 503
        assert len(runs) == 3
        head, _ = await h.request(
            "/stream/x", method=b"POST", body=b"fine", request_id="f", **headers
        )
        assert head.status == 200


@pytest.mark.looptime
async def test_all_quarantined_requests_reach_a_node_that_starts_later():
    # Guards against requests that never fit in a message, and against nodes that hear
    # of losses only in the seconds after them.
    node, late = (PoisonRequestDetector(clock=LoopClock()) for _ in range(2))
    for request in range(40):
        for number in range(3):
            node.record_loss(f"f{request}", f"s{number}")
    await asyncio.sleep(100)
    for _ in range(3):
        tell(node, late)
    assert late.quarantined_count() == 40


@pytest.mark.looptime
async def test_latest_loss_is_sent_first():
    # Guards against a crashing request whose loss waits behind those of many others.
    node, peer = (PoisonRequestDetector(clock=LoopClock()) for _ in range(2))
    for request in range(40):
        for number in range(4):
            node.record_loss(f"f{request}", f"s{number}")
    for _ in range(5):
        tell(node, peer)
    node.record_loss("new", "s9")
    tell(node, peer)
    assert peer.loss_count("new") == 1


@pytest.mark.looptime
@pytest.mark.parametrize(("requests", "losses"), [(40, 1), (1, 20)])
async def test_all_losses_that_are_cleared_at_once_are_cleared_on_other_nodes(
    requests, losses
):
    # Guards against losses that stay on other nodes when a node that was cut off from
    # all servers takes back more of them than fit in a message.
    node, peer = (PoisonRequestDetector(clock=LoopClock()) for _ in range(2))
    fingerprints = [f"f{request}" for request in range(requests)]
    for fingerprint in fingerprints:
        for number in range(losses):
            node.record_loss(fingerprint, f"s{number}")
            peer.record_loss(fingerprint, f"s{number}")
    for fingerprint in fingerprints:
        for number in range(losses):
            node.clear_loss(fingerprint, f"s{number}")
    for _ in range(3):
        tell(node, peer)
        await asyncio.sleep(0.3)
    assert sum(map(peer.loss_count, fingerprints)) == 0
