import random

import pytest

from pomelolug.state.tests.bench import Bench
from pomelolug.testing import LoopClock


@pytest.fixture
def bench():
    return Bench(clock=LoopClock(), random_state=random.Random(7))
