"""Control process of an entry VM: streams, membership, groups and claims."""

from pomelolug.control._compose import run_control

__all__ = ["run_control"]
