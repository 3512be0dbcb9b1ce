"""Process of an entry VM on the users' platform.

It accepts callers' requests, forwards them to backend servers, and is a candidate
for the duty of forming replica groups.
"""

from pomelolug.entry._compose import run_entry

__all__ = ["run_entry"]
