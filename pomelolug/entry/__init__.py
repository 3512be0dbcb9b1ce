"""Process of an entry VM on the users' platform.

It accepts callers' requests and forwards them to backend servers. An entry VM with
this process is called a node. One node is elected as the active controller, which
forms the replica groups.
"""

from pomelolug.entry._compose import run_entry

__all__ = ["run_entry"]
