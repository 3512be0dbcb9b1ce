import random

import pytest

from pomelolug.state.tests.harness import StateHarness
from pomelolug.testing import LoopClock


@pytest.fixture
def harness():
    return StateHarness(clock=LoopClock(), random_state=random.Random(7))
