"""Plain services that the system routes to beside the model engines."""

from pomelolug.services._base import ServiceClient, ServiceRequest, ServiceResponse
from pomelolug.services._http import HttpServiceClient

__all__ = ["HttpServiceClient", "ServiceClient", "ServiceRequest", "ServiceResponse"]
