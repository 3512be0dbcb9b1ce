"""Plain services that the system routes to beside the model engines."""

from pomelolug.services._base import PlainService, ServiceCall, ServiceReply
from pomelolug.services._http import HttpPlainService

__all__ = ["HttpPlainService", "PlainService", "ServiceCall", "ServiceReply"]
