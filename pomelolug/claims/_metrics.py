"""Metrics of claims."""

from prometheus_client import Counter, Histogram

__all__ = ["APPENDS", "GIVEN_UP", "UNSENT_UPDATES", "VERDICTS", "WAIT"]

VERDICTS = Counter(
    "pomelolug_claim_verdicts", "Claims decided by a relay.", ["verdict"]
)
APPENDS = Counter("pomelolug_claim_appends", "Claim batches appended.", ["result"])
WAIT = Histogram("pomelolug_claim_wait_seconds", "Time from request to verdict.")
GIVEN_UP = Counter(
    "pomelolug_claim_given_up", "Claims that a gateway gave up.", ["reason"]
)
UNSENT_UPDATES = Counter(
    "pomelolug_claim_updates_lost", "Claim updates dropped for lack of room.", ["side"]
)
