"""Clients of a fleet: callers, operators and the stand-ins' control path."""

import asyncio
import dataclasses
import json
from typing import Any, final

import aiohttp

CALLER_TIMEOUT_SECONDS = 60.0
CONTROL_TIMEOUT_SECONDS = 10.0
DATA_PREFIX = b"data:"
END_MARKER = b"[DONE]"
STATUS_OK = 200


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 when the connection failed.
        text: the text generated, or the body of another answer.
        whole: the answer came to its end: a stream to its end marker.
        problem: members of the problem document, also one inside a stream.
        replayed: the node says it is a recorded answer.
        error: what the connection failed with.
    """

    status: int
    text: str = ""
    whole: bool = False
    problem: dict[str, Any] = dataclasses.field(default_factory=dict)
    replayed: bool = False
    error: str = ""

    @property
    def run(self) -> str:
        """Returns what the problem says of whether the work ran."""
        return str(self.problem.get("run", ""))


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completion:
    """A generation that a caller asks for."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = True
    deadline_ms: int = 20_000


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A call of a plain service that a caller asks for."""

    service: str
    operation: str
    key: str
    body: dict[str, Any]
    deadline_ms: int = 20_000


class Caller:
    """Sends requests to nodes with one customer's key."""

    def __init__(self, api_key: str) -> None:
        self.api_key = api_key
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_SECONDS),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()

    async def complete(self, url: str, wanted: Completion) -> CallerAnswer:
        """Asks a node for a generation."""
        body = {
            "model": wanted.model,
            "prompt": wanted.prompt,
            "max_tokens": wanted.max_tokens,
            "stream": wanted.stream,
        }
        headers = self._headers(wanted.deadline_ms)
        text: list[str] = []
        try:
            async with self.session.post(
                f"{url}/v1/completions", json=body, headers=headers
            ) as response:
                if response.status != STATUS_OK:
                    return await _problem(response)
                if not wanted.stream:
                    return _whole(await response.json())
                return await _read_stream(response, text)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CallerAnswer(status=0, text="".join(text), error=repr(error))

    async def call(self, url: str, wanted: ServiceCall) -> CallerAnswer:
        """Asks a node for a call of a plain service."""
        path = f"/v1/services/{wanted.service}/{wanted.operation}"
        headers = self._headers(wanted.deadline_ms)
        if wanted.key:
            headers["Idempotency-Key"] = wanted.key
        try:
            async with self.session.post(
                url + path, json=wanted.body, headers=headers
            ) as response:
                if response.status != STATUS_OK:
                    return await _problem(response)
                return CallerAnswer(
                    status=response.status,
                    text=await response.text(),
                    whole=True,
                    replayed="Idempotency-Replayed" in response.headers,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return CallerAnswer(status=0, error=repr(error))

    def _headers(self, deadline_ms: int) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.api_key}",
            "X-Deadline-Ms": str(deadline_ms),
        }


async def _read_stream(
    response: aiohttp.ClientResponse, text: list[str]
) -> CallerAnswer:
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_MARKER:
            return CallerAnswer(
                status=response.status, text="".join(text), whole=True
            )
        members = json.loads(data)
        if "choices" not in members:
            return CallerAnswer(
                status=response.status, text="".join(text), problem=members
            )
        text.extend(choice.get("text", "") for choice in members["choices"])
    return CallerAnswer(
        status=response.status, text="".join(text), error="cut off"
    )


def _whole(members: dict[str, Any]) -> CallerAnswer:
    text = "".join(choice["text"] for choice in members["choices"])
    return CallerAnswer(status=STATUS_OK, text=text, whole=True)


async def _problem(response: aiohttp.ClientResponse) -> CallerAnswer:
    text = await response.text()
    try:
        problem = json.loads(text)
    except ValueError:
        problem = {}
    return CallerAnswer(status=response.status, text=text, problem=problem)


class Control:
    """Speaks JSON to operator ports and to the stand-ins' control paths."""

    def __init__(self, operator_key: str = "") -> None:
        self.headers = {"Authorization": f"Bearer {operator_key}"}
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()

    async def get(self, url: str) -> Any:
        """Reads a JSON document.

        Raises:
            aiohttp.ClientError: no answer, or an error status.
        """
        async with self.session.get(url, headers=self.headers) as response:
            response.raise_for_status()
            return await response.json()

    async def text(self, url: str) -> tuple[int, str]:
        """Reads status and text, whatever the status."""
        async with self.session.get(url, headers=self.headers) as response:
            return response.status, await response.text()

    async def put(
        self, url: str, body: Any, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Puts a JSON document; returns status and answer."""
        async with self.session.put(
            url, json=body, headers=self.headers | (headers or {})
        ) as response:
            try:
                return response.status, await response.json(content_type=None)
            except ValueError:
                return response.status, None

    async def put_text(self, url: str, body: str) -> tuple[int, str]:
        """Puts a text; returns status and answer."""
        async with self.session.put(
            url, data=body, headers=self.headers
        ) as response:
            return response.status, await response.text()


async def poll_until(check: Any, *, what: str, seconds: float) -> Any:
    """Asks until the answer is true and returns it.

    Args:
        check: coroutine function; a connection error counts as not yet.
        what: what is awaited, for the error.
        seconds: time allowed.

    Raises:
        TimeoutError: the answer stayed false.
    """
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        try:
            found = await check()
        except (aiohttp.ClientError, OSError):
            found = None
        if found:
            return found
        await asyncio.sleep(0.05)
    raise TimeoutError(f"not within {seconds:.0f} s: {what}")
