"""Callers of a soak, which send requests, check the replies and retry."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Sequence

from starlette.types import Message

from pomelolug.experiments.soak._entry import EntryVm
from pomelolug.experiments.soak._fleet import CRASH_PREFIX, expected_token
from pomelolug.experiments.soak._journal import Journal

__all__ = ["Callers", "Reply"]

_AUTHORIZATION = "Bearer secret"
_REPLY_TIMEOUT_S = 45.0
_MAX_ATTEMPTS = 3
_LATE_RETRY_DELAY_S = 25.0


@dataclasses.dataclass(kw_only=True)
class Reply:
    """What a caller has received of the reply to one request."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    finished: bool = False

    @property
    def request_id(self) -> str:
        """Identifier that the gateway assigned to the request."""
        return self.headers.get("x-request-id", "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """Request of a caller; all its copies have the same body."""

    number: int
    path: str
    work_class: str
    prompt: str
    tokens: int = 0
    key: str = ""
    stream: bool = False
    copies: int = 1


async def call_asgi(entry: EntryVm, job: Job) -> Reply:
    """Call the ASGI application of the gateway of `entry` without a socket."""
    # A paused process reads nothing from its sockets.
    await entry.clock.wait_until_running()
    if entry.application is None:
        raise ConnectionError("the gateway has stopped")
    headers = {"authorization": _AUTHORIZATION, "x-work-class": job.work_class}
    if job.key:
        headers["idempotency-key"] = job.key
    body = job.prompt.encode()
    if job.tokens:
        payload = {"model": "m", "prompt": job.prompt, "max_tokens": job.tokens}
        body = json.dumps({**payload, "stream": job.stream}).encode()
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": "POST",
        "path": job.path,
        "raw_path": job.path.encode(),
        "query_string": b"",
        "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 80),
        "scheme": "http",
        "root_path": "",
    }
    reply = Reply()
    request_messages: asyncio.Queue[Message] = asyncio.Queue()
    request_messages.put_nowait(
        {"type": "http.request", "body": body, "more_body": False}
    )

    async def send(message: Message) -> None:
        if message["type"] == "http.response.start":
            reply.status = message["status"]
            reply.headers = {
                k.decode().lower(): v.decode() for k, v in message["headers"]
            }
        else:
            reply.body += message.get("body", b"")
            reply.finished = not message.get("more_body", False)

    try:
        await entry.application(scope, request_messages.get, send)
    finally:
        request_messages.put_nowait({"type": "http.disconnect"})
    return reply


class Callers:
    """Draws jobs at random and sends them through the load balancer.

    Parameters
    ----------
    entries : sequence of EntryVm
        Entry VMs behind the load balancer.
    journal : Journal
        Receives events and violations.
    random_state : random.Random
        Draws arrival times and kinds of jobs.
    jobs_per_s : float
        Mean number of jobs per virtual second.
    """

    def __init__(
        self,
        *,
        entries: Sequence[EntryVm],
        journal: Journal,
        random_state: random.Random,
        jobs_per_s: float,
    ) -> None:
        self._entries = entries
        self._journal = journal
        self._random = random_state
        self._jobs_per_s = jobs_per_s
        self._job_count = 0
        self._open_tasks: set[asyncio.Task[None]] = set()
        self.not_run: list[tuple[str, Job]] = []
        self.answered: list[Job] = []
        self.ttft: list[float] = []

    @property
    def open_count(self) -> int:
        """Number of unfinished jobs, counting each copy."""
        return len(self._open_tasks)

    async def run(self) -> None:
        """Send jobs until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._jobs_per_s))
            self.submit(self._draw_job())

    def submit(self, job: Job) -> None:
        """Send `job` and its copies in the background."""
        for copy in range(job.copies):
            delay_s = 0.0 if copy == 0 else self._random.uniform(0.0, 2.0)
            task = asyncio.create_task(self._run_job(job, delay_s))
            self._open_tasks.add(task)
            task.add_done_callback(self._open_tasks.discard)

    def new_crashing_job(self) -> Job:
        """Return a job that crashes every group that runs it."""
        self._job_count += 1
        return Job(
            number=self._job_count,
            path="/v1/completions",
            work_class="chat",
            prompt=f"{CRASH_PREFIX}-{self._job_count}",
            tokens=20,
        )

    def _draw_job(self) -> Job:
        self._job_count += 1
        number = self._job_count
        draw = self._random.random()
        copies = 2 if self._random.random() < 0.3 else 1
        if draw < 0.5:
            return Job(
                number=number,
                path="/v1/completions",
                work_class="chat",
                prompt=f"chat-{number}",
                tokens=self._random.choice((10, 20, 60)),
                stream=self._random.random() < 0.7,
            )
        if draw < 0.75:
            return Job(
                number=number,
                path="/v1/completions",
                work_class="billed",
                prompt=f"billed-{number}",
                tokens=20,
                key=f"key-{number}",
                copies=copies,
            )
        if draw < 0.9:
            return Job(
                number=number,
                path="/services/jobs/status",
                work_class="pull",
                prompt=f"pull-{number}",
            )
        return Job(
            number=number,
            path="/services/jobs/confirm",
            work_class="confirm",
            prompt=f"confirm-{number}",
            key=f"key-{number}",
            copies=copies,
        )

    async def _run_job(self, job: Job, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        was_cut = False
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._attempt(job)
            was_cut = was_cut or outcome == "cut"
            if outcome in ("answered", "refused"):
                return
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
        if was_cut and job.key:
            # By then the lost entry VM is considered dead.
            await asyncio.sleep(_LATE_RETRY_DELAY_S)
            await self._attempt(job)

    async def _attempt(self, job: Job) -> str:
        entry = self._pick_entry()
        if entry is None:
            self._journal.outcomes["no_entry"] += 1
            return "no_entry"
        self._journal.requests += 1
        task = asyncio.create_task(call_asgi(entry, job))
        entry.open_calls.add(task)  # type: ignore[arg-type]
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                reply = await task
        except TimeoutError:
            self._journal.record_violation(f"lost: {job.prompt} through {entry.name}")
            return "refused"
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                raise
            return self._record_cut(job)
        except Exception as error:
            # The gateway closes the connection if it cannot finish the reply.
            self._journal.record_event(f"cut {job.prompt}: {type(error).__name__}")
            return self._record_cut(job)
        finally:
            entry.open_calls.discard(task)  # type: ignore[arg-type]
        return self._check_reply(job, reply)

    def _record_cut(self, job: Job) -> str:
        self._journal.outcomes["cut"] += 1
        self._journal.record_event(f"cut {job.prompt}")
        return "cut"

    def _pick_entry(self) -> EntryVm | None:
        ready_entries = [entry for entry in self._entries if entry.is_ready]
        return self._random.choice(ready_entries) if ready_entries else None

    def _check_reply(self, job: Job, reply: Reply) -> str:
        if not reply.finished:
            self._journal.record_violation(f"unfinished reply to {job.prompt}")
            return "refused"
        if reply.status == 200 and b"event: error" not in reply.body:
            self._check_answer(job, reply)
            self._journal.outcomes["answered"] += 1
            self._journal.record_event(f"answer {job.prompt}")
            self.answered.append(job)
            return "answered"
        text = reply.body
        if reply.status == 200:
            if b"[DONE]" in text:
                self._journal.record_violation(
                    f"end marker after an error: {job.prompt}"
                )
            text = text[text.index(b"event: error") :].split(b"data: ")[1]
        error = json.loads(text)["error"]
        self._journal.outcomes[error["outcome"]] += 1
        self._journal.codes[error["code"]] += 1
        self._journal.record_event(
            f"refused {job.prompt} {error['code']} {error['outcome']}"
        )
        if error["outcome"] == "not_run":
            self.not_run.append((error["request_id"], job))
        is_final = error["code"] in ("quarantined", "already_answered", "key_reused")
        return (
            "refused"
            if is_final and not job.prompt.startswith(CRASH_PREFIX)
            else "again"
        )

    def _check_answer(self, job: Job, reply: Reply) -> None:
        if not job.tokens:
            if reply.body != job.prompt.encode():
                self._journal.record_violation(
                    f"crossed: {job.prompt} got {reply.body!r}"
                )
            return
        expected_text = "".join(
            expected_token(job.prompt, n) for n in range(job.tokens)
        )
        received_text = (
            _stream_text(reply.body) if job.stream else _json_text(reply.body)
        )
        if received_text != expected_text:
            self._journal.record_violation(
                f"crossed or truncated: {job.prompt} got {received_text[:60]!r} of "
                f"{len(received_text)} characters, expected {len(expected_text)}"
            )
        if job.stream and not reply.body.endswith(b"data: [DONE]\n\n"):
            self._journal.record_violation(f"clean end without marker: {job.prompt}")


def _json_text(body: bytes) -> str:
    return str(json.loads(body)["choices"][0]["text"])


def _stream_text(body: bytes) -> str:
    events = body.decode().split("\n\n")
    chunks = [
        json.loads(event[6:])
        for event in events
        if event.startswith("data: ") and not event.endswith("[DONE]")
    ]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)
