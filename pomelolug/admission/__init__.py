"""Admission control: queues, deadlines, fairness and capacity shares."""

from pomelolug.admission._estimate import WaitEstimator
from pomelolug.admission._queue import AdmissionQueue, Permit, Ticket
from pomelolug.admission._request import AdmissionRequest
from pomelolug.admission._share import CapacityAllocator, DemandMeter

__all__ = [
    "AdmissionQueue",
    "AdmissionRequest",
    "CapacityAllocator",
    "DemandMeter",
    "Permit",
    "Ticket",
    "WaitEstimator",
]
