import os

import pytest

from pomelolug.experiments._processes import ProcessManager, find_free_port_block


async def test_close_terminates_every_process(tmp_path):
    """Guards against processes that outlive the experiment."""
    manager = ProcessManager(tmp_path)
    port = find_free_port_block(1)
    module = "pomelolug.testing.platform_server"
    child = await manager.start("platform", module, [f"--port={port}"])
    await manager.close()
    assert child.returncode is not None
    with pytest.raises(ProcessLookupError):
        os.kill(child.pid, 0)
