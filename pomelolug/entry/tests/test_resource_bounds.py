"""Bounds that follow from the limits of the process."""

import pytest
import structlog

from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._resource_bounds import ResourceBounds
from pomelolug.entry.requests._peer_forwarding import PeerRefusalError
from pomelolug.errors import ErrorCode, Outcome, RequestError

MB = 1_000_000


def make_bounds(*, memory=None, sockets=None, connections=()):
    return ResourceBounds(
        memory_limit=memory,
        socket_limit=sockets,
        connections=connections,
        metrics=EntryMetrics(),
    )


@pytest.mark.parametrize("sockets", [3900, 7992, 606, 202, 1])
def test_each_request_of_a_caller_finds_a_socket_to_its_server(sockets):
    # Guards against callers who take the sockets that their requests need.
    bounds = make_bounds(sockets=sockets)
    assert bounds.max_connections >= 1
    in_use = 2 * bounds.max_connections
    assert in_use <= max(sockets - 200, 2)
    assert bounds.max_idle_connections <= sockets // 10


def test_without_limits_there_are_no_bounds():
    # Guards against refusals at deployments whose settings state no limits.
    bounds = make_bounds()
    assert bounds.max_connections is None
    assert bounds.max_idle_connections is None
    assert bounds.memory_budget.total_bytes is None


def test_reached_bound_is_logged_once_and_its_end_too():
    # Guards against an operator who does not learn why requests are refused, and
    # against a line for each of them.
    bounds = make_bounds(memory=200 * MB)
    with structlog.testing.capture_logs() as lines:
        for held in (10 * MB, 90 * MB, 90 * MB, 10 * MB):
            bounds.memory_budget.replace(0, held)
            bounds.update()
            bounds.memory_budget.replace(held, 0)
    assert [line["event"] for line in lines] == [
        "resource_bound_reached",
        "resource_bound_left",
    ]


@pytest.mark.parametrize("code", [ErrorCode.MEMORY_LIMIT, ErrorCode.CONNECTION_LIMIT])
def test_node_without_room_leaves_a_request_to_another_one(code):
    # Guards against a caller who is refused since the first other node is full.
    error = RequestError(code, "full", status=503, outcome=Outcome.NOT_RUN)
    assert PeerRefusalError(error).may_try_another
