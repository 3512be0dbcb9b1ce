"""Request for admission."""

import msgspec

from pomelolug.configuration import WorkClass
from pomelolug.ids import AccountId, RequestId

__all__ = ["AdmissionRequest"]


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a slot.

    `weight` is the share of the account relative to other accounts. `deadline_s` is
    the time in seconds until the response has to be complete. `cost` is the expected
    work, relative to a mean request: it scales the expected holding time and what
    the account is charged in the fair queue, but a request of any cost takes one
    slot. `max_in_flight` limits the number of the
    account's requests on this gateway that wait in the class or run in its pool; 0
    means no limit.
    """

    request_id: RequestId
    work_class: WorkClass
    account: AccountId
    weight: float = 1.0
    deadline_s: float = 60.0
    cost: float = 1.0
    max_in_flight: int = 0

    @property
    def pool(self) -> str:
        """Name of the pool or plain service whose slot is requested."""
        return self.work_class.pool or self.work_class.service
