"""Prometheus metrics of claims."""

from prometheus_client import Counter, Histogram

__all__ = ["APPENDS", "DROPPED_UPDATES", "GIVEN_UP_CLAIMS", "VERDICTS", "WAIT_SECONDS"]

VERDICTS = Counter(
    "pomelolug_claim_verdicts", "Claims decided by a relay.", ["verdict"]
)
APPENDS = Counter("pomelolug_claim_appends", "Claim batches appended.", ["result"])
WAIT_SECONDS = Histogram(
    "pomelolug_claim_wait_seconds", "Time from request to verdict."
)
GIVEN_UP_CLAIMS = Counter(
    "pomelolug_claim_given_up", "Claims that a gateway gave up.", ["reason"]
)
DROPPED_UPDATES = Counter(
    "pomelolug_claim_updates_lost", "Claim updates dropped for lack of room.", ["side"]
)
