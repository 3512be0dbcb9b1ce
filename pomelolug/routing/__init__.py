"""Selection of a replica group for each request."""

from pomelolug.routing._breaker import BreakerState, CircuitBreaker
from pomelolug.routing._prefix import PrefixIndex
from pomelolug.routing._view import RoutingView

__all__ = ["BreakerState", "CircuitBreaker", "PrefixIndex", "RoutingView"]
