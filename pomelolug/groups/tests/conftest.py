import pytest

from pomelolug.configuration import Pool
from pomelolug.testing import GroupSimulation, LoopClock


@pytest.fixture
def world():
    pool = Pool(name="p", model="m", members=4)
    return GroupSimulation(
        clock=LoopClock(), pools=[pool], rate_bytes_per_s=100.0, sizes={"m": 1000}
    )
