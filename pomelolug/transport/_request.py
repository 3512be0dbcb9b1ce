"""Encoding of HTTP requests."""

from collections.abc import Iterable

__all__ = ["encode_request"]


def encode_request(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes = b"",
) -> bytes:
    r"""Return an encoded HTTP/1.1 request.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    headers : iterable of (bytes, bytes)
        Header fields without ``Content-Length``, which is added if needed.
    body : bytes
        Request body. ``Content-Length`` is omitted if the body is empty and the
        method is ``GET``, ``HEAD`` or ``DELETE``.

    Examples
    --------
    >>> encode_request(b"GET", b"/a", [(b"Host", b"h")])
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % field for field in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
