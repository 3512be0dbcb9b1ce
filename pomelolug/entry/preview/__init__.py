"""Where a request would go now and why, without sending it."""

from pomelolug.entry.preview._dispatchers import PreviewAssigner
from pomelolug.entry.preview._endpoint import (
    DISPATCH_PREVIEW_PATH,
    PREVIEW_PATH,
    PreviewEndpoint,
    fetch_ranking,
)
from pomelolug.entry.preview._previewer import RequestPreviewer
from pomelolug.entry.preview._report import (
    DispatcherPreview,
    Exclusion,
    ExclusionReason,
    GroupPreview,
    PreviewQuery,
    RankingReport,
    RequestPreview,
    ServerPreview,
)
from pomelolug.entry.preview._snapshot import KnownState

__all__ = [
    "DISPATCH_PREVIEW_PATH",
    "DispatcherPreview",
    "Exclusion",
    "ExclusionReason",
    "GroupPreview",
    "KnownState",
    "PREVIEW_PATH",
    "PreviewAssigner",
    "PreviewEndpoint",
    "PreviewQuery",
    "RankingReport",
    "RequestPreview",
    "RequestPreviewer",
    "ServerPreview",
    "fetch_ranking",
]
