"""Client of plain services, the backend servers that run no model."""

from pomelolug.services._base import ServiceClient, ServiceRequest, ServiceResponse
from pomelolug.services._http import HttpServiceClient

__all__ = ["HttpServiceClient", "ServiceClient", "ServiceRequest", "ServiceResponse"]
