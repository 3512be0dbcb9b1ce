"""Reports of lost groups, which entry VMs share over the mesh and the log."""

import collections

from pomelolug.errors import ErrorCode, PeerError
from pomelolug.messages import LossReport, decode, encode
from pomelolug.state import Fold, Record, RecordKind, VoidRecordError

__all__ = ["CONTAINMENT_STREAM", "ContainmentFold"]

CONTAINMENT_STREAM = "containment"
_MAX_LOSSES = 512
_MAX_CHECKPOINT_BYTES = 200 * 1024


class ContainmentFold(Fold):
    """The newest loss reports of the log, by their identifier."""

    def __init__(self) -> None:
        self._losses: collections.OrderedDict[str, LossReport] = (
            collections.OrderedDict()
        )

    @property
    def losses(self) -> tuple[LossReport, ...]:
        """The stored reports, oldest first."""
        return tuple(self._losses.values())

    def apply(self, record: Record) -> None:
        """Apply the next loss report of the log.

        Raises
        ------
        VoidRecordError
            If the record is not a valid loss report.
        """
        if record.kind is not RecordKind.CONTAINMENT:
            raise VoidRecordError(ErrorCode.BAD_REQUEST, "not a loss report")
        try:
            report = decode(record.body, LossReport)
        except PeerError as error:
            raise VoidRecordError(error.code, "malformed loss report") from error
        self._add_loss(report)

    def _add_loss(self, report: LossReport) -> None:
        self._losses.setdefault(report.loss_id, report)
        while len(self._losses) > _MAX_LOSSES:
            self._losses.popitem(last=False)

    def dump(self) -> bytes:
        """Return the newest reports that fit into a checkpoint, encoded."""
        parts: list[bytes] = []
        size = 0
        for report in reversed(self._losses.values()):
            encoded = encode(report)
            size += len(encoded) + 4
            if size > _MAX_CHECKPOINT_BYTES:
                break
            parts.append(len(encoded).to_bytes(4, "big") + encoded)
        return b"".join(reversed(parts))

    def restore(self, data: bytes) -> None:
        """Replace all reports with those of a checkpoint."""
        self._losses.clear()
        while data:
            size = int.from_bytes(data[:4], "big")
            self._add_loss(decode(data[4 : 4 + size], LossReport))
            data = data[4 + size :]
