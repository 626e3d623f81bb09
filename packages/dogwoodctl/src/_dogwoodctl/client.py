"""Client of the nodes' operator ports; tries the nodes in order."""

import dataclasses
import datetime
import http
import json
from typing import Any, final

import aiohttp

from _dogwoodctl import errors
from dogwoodhinge import ports

# Each round tries every node once; the change fails after the last round.
MAX_WRITE_ROUNDS = 3
WRITE_ROUND_DELAY = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NodeResponse:
    """Response of a node.

    Attributes:
        node: URL of the node that responded.
        status: HTTP status.
        body: members of the JSON object in the body.
    """

    node: str
    status: http.HTTPStatus
    body: dict[str, Any]

    @property
    def detail(self) -> str:
        """Detail of a problem document, else the status phrase."""
        return str(self.body.get("detail", self.status.phrase))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a contract.

    Attributes:
        method: PUT or DELETE.
        path: URL path of the contract.
        change_id: idempotency key, the same in every retry.
        expected_revision: revision of the contract that the change is based
            on; 0 if there is none.
        body: the contract as JSON; empty for a deletion.
    """

    method: str
    path: str
    change_id: str
    expected_revision: int
    body: bytes = b""


class NodeRequestError(errors.CommandError):
    """A request to a node got no usable response.

    Attributes:
        maybe_sent: True if the node may have received the request.
    """

    def __init__(self, message: str, *, maybe_sent: bool) -> None:
        super().__init__(message)
        self.maybe_sent = maybe_sent


class OperatorClient:
    """Sends reads and changes to the first node that responds."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        nodes: tuple[str, ...],
        key: str,
        operator: str,
        timeout: datetime.timedelta,
        clock: ports.Clock,
    ) -> None:
        self.session = session
        self.nodes = tuple(node.rstrip("/") for node in nodes)
        self.key = key
        self.operator = operator
        self.timeout = timeout
        self.clock = clock

    async def read(self, path: str) -> NodeResponse:
        """Reads a path from the first node that responds.

        Raises:
            NotFoundError: the path does not exist.
            UnreachableError: no node responded without a server error.
            CommandError: a node rejected the request.
        """
        failures = []
        for node in self.nodes:
            try:
                response = await self._request(node, "GET", path)
            except NodeRequestError as error:
                failures.append(str(error))
                continue
            if response.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
                _raise_for_status(response)
                return response
            failures.append(f"{node}: {response.detail}")
        raise errors.UnreachableError(
            "no node answered: " + _join_distinct(failures)
        )

    async def send(self, change: Change) -> NodeResponse:
        """Sends a change to the nodes until one accepts or rejects it.

        Retries carry the same change id, so the change is applied at most
        once.

        Raises:
            InvalidError: the change was rejected as invalid.
            ConflictError: the contract's revision is not the expected one.
            NotFoundError: the contract does not exist.
            UnreachableError: no node applied the change.
            OutcomeUnknownError: the change may have been applied.
        """
        failures: list[str] = []
        outcome_unknown = False
        for attempt in range(MAX_WRITE_ROUNDS):
            if attempt:
                await self.clock.sleep(WRITE_ROUND_DELAY)
            for node in self.nodes:
                try:
                    response = await self._send_to(node, change)
                except NodeRequestError as error:
                    outcome_unknown |= error.maybe_sent
                    failures.append(str(error))
                    continue
                if response.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
                    _raise_for_status(response)
                    return response
                outcome_unknown |= response.body.get("applied") != "no"
                failures.append(f"{node}: {response.detail}")
        if outcome_unknown:
            raise errors.OutcomeUnknownError(
                "the change may be in force; send it again with "
                f"--change_id={change.change_id} "
                f"--expected_revision={change.expected_revision}, it is "
                "applied at most once: " + _join_distinct(failures),
                details={"change_id": change.change_id},
            )
        raise errors.UnreachableError(
            "nothing was changed: " + _join_distinct(failures)
        )

    async def _send_to(self, node: str, change: Change) -> NodeResponse:
        headers = {
            "Idempotency-Key": change.change_id,
            "X-Operator": self.operator,
        }
        if change.expected_revision:
            headers["If-Match"] = f'"{change.expected_revision}"'
        else:
            headers["If-None-Match"] = "*"
        return await self._request(
            node, change.method, change.path, headers=headers, body=change.body
        )

    async def _request(
        self,
        node: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> NodeResponse:
        try:
            async with self.session.request(
                method,
                node + path,
                data=body or None,
                headers={
                    "Authorization": f"Bearer {self.key}",
                    "Content-Type": "application/json",
                    **(headers or {}),
                },
                timeout=aiohttp.ClientTimeout(self.timeout.total_seconds()),
            ) as response:
                status = http.HTTPStatus(response.status)
                document = json.loads(await response.read())
        except aiohttp.ClientConnectorError as error:
            raise NodeRequestError(
                f"{node}: {error}", maybe_sent=False
            ) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise NodeRequestError(
                f"{node}: {reason}", maybe_sent=True
            ) from error
        if not isinstance(document, dict):
            raise NodeRequestError(
                f"{node}: the response is not a JSON object", maybe_sent=True
            )
        return NodeResponse(node, status, document)


def _raise_for_status(response: NodeResponse) -> None:
    """Raises the error that corresponds to an HTTP error status."""
    status = http.HTTPStatus
    if response.status < status.BAD_REQUEST:
        return
    match response.status:
        case status.NOT_FOUND:
            raise errors.NotFoundError(response.detail)
        case status.PRECONDITION_FAILED:
            raise errors.ConflictError(response.detail, details=response.body)
        case status.UNAUTHORIZED:
            raise errors.UsageError(f"{response.node}: {response.detail}")
        case _:
            raise errors.InvalidError(response.detail)


def _join_distinct(failures: list[str]) -> str:
    return "; ".join(dict.fromkeys(failures))
