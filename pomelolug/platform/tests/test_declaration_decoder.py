"""Declarations with many routes that change a little, and often."""

import msgspec
import pytest

from pomelolug.errors import InvalidInputError
from pomelolug.platform import DeclarationDecoder, decode_declaration

ROUTES = 2000


def make_route(number: int, **changes: object) -> dict[str, object]:
    return {
        "name": f"r-{number}",
        "host": f"h{number % 7}.example",
        "path_prefix": f"/p{number}/",
        "kind": "streaming",
        "timeout_ms": 5000 + number % 3,
        "split": [{"service": "s", "weight": 1}],
    } | changes


def encode(version: int, routes: list[dict[str, object]]) -> bytes:
    services = [{"name": "s"}]
    return msgspec.json.encode(
        {"version": version, "routes": routes, "services": services}
    )


def test_only_changed_routes_of_a_large_declaration_are_built():
    # Guards against each version of a declaration with thousands of routes that keeps
    # the event loop, and so all streams of the node, waiting.
    routes = [make_route(number) for number in range(ROUTES)]
    decoder = DeclarationDecoder()
    before = decoder.decode(encode(1, routes))
    routes[7] = make_route(7, timeout_ms=100)
    data = encode(2, [*routes, make_route(ROUTES)])
    after = decoder.decode(data)
    known = {id(route) for route in before.routes}
    assert sum(id(route) not in known for route in after.routes) == 2
    assert after == decode_declaration(data)


@pytest.mark.parametrize("order", ["forward", "back", "again"])
def test_version_is_decoded_alike_whatever_came_before(order):
    # Guards against routes of another version, after reads that arrive out of order.
    old = encode(1, [make_route(number) for number in range(4)])
    new = encode(2, [make_route(3), make_route(1, max_attempts=3), make_route(9)])
    sequence = {"forward": [old, new], "back": [new, old], "again": [old, new, old]}
    decoder = DeclarationDecoder()
    for data in sequence[order]:
        decoded, expected = decoder.decode(data), decode_declaration(data)
        assert decoded == expected
        for number in range(10):
            place = (f"h{number % 7}.example", f"/p{number}/x")
            assert decoded.find_route(*place) == expected.find_route(*place)


def test_invalid_route_is_named_and_leaves_the_decoder_usable():
    # Guards against a report without the place, and against a part that is applied.
    decoder = DeclarationDecoder()
    valid = encode(1, [make_route(0), make_route(1)])
    decoder.decode(valid)
    invalid = encode(2, [make_route(0), make_route(1, timeout_ms="soon")])
    with pytest.raises(InvalidInputError, match=r"\$\.routes\[1\]\.timeout_ms"):
        decoder.decode(invalid)
    assert decoder.decode(valid) == decode_declaration(valid)
