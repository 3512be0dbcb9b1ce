"""HTTP interface of the control process for operators."""

import urllib.parse
from collections.abc import Callable, Mapping

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.registry import CollectorRegistry

from pomelolug.membership import HttpReply

__all__ = ["OperatorPages", "PageHandler"]

PageHandler = Callable[[Mapping[str, str]], object]
_JSON_CONTENT_TYPE = "application/json"


class OperatorPages:
    """Answers GET requests for the health check, the metrics and the given pages.

    Parameters
    ----------
    pages : mapping of str to callable
        Handler for each path; takes the query parameters and returns an object
        that is sent as JSON.
    registries : tuple of CollectorRegistry
        Metrics that ``/metrics`` exposes.
    """

    def __init__(
        self,
        pages: Mapping[str, PageHandler],
        registries: tuple[CollectorRegistry, ...],
    ) -> None:
        self._pages = pages
        self._registries = registries

    def __call__(self, path: str) -> HttpReply | None:
        """Return the reply for `path`, or None if there is no such page."""
        parts = urllib.parse.urlsplit(path)
        if parts.path == "/healthz":
            return HttpReply(body=b"ok\n")
        if parts.path == "/metrics":
            body = b"".join(generate_latest(r) for r in self._registries)
            return HttpReply(content_type=CONTENT_TYPE_LATEST, body=body)
        page = self._pages.get(parts.path)
        if page is None:
            return None
        query = dict(urllib.parse.parse_qsl(parts.query, max_num_fields=10))
        body = msgspec.json.encode(page(query))
        return HttpReply(content_type=_JSON_CONTENT_TYPE, body=body + b"\n")
