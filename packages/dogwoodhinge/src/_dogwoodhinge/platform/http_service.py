"""Plain services over HTTP, with a new connection for each call."""

import datetime
from typing import final

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import models
from dogwoodhinge import ports

HTTP_SCHEMES = ("http://", "https://")

# Longer answers count as incomplete.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@hookimpl.hookimpl
def open_plain_service(
    endpoint: models.Endpoint, clock: ports.Clock
) -> ports.PlainService | None:
    """Opens endpoints with an `http(s)://` URL."""
    del clock
    if not endpoint.url.startswith(HTTP_SCHEMES):
        return None
    return HttpService(endpoint)


@final
class HttpService:
    """Implements `ports.PlainService`."""

    def __init__(self, endpoint: models.Endpoint) -> None:
        self.endpoint = endpoint
        self.client = http_client.HttpClient(endpoint.url)

    async def call(
        self, call: models.PlainCall, *, timeout: datetime.timedelta
    ) -> models.PlainAnswer:
        """Sends a call once, on a new connection."""
        headers = {
            "Content-Type": call.content_type,
            "X-Request-Id": call.call_id,
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        request = http_client.Request(
            method=call.method,
            path=call.path,
            body=call.body,
            headers=headers,
            new_connection=True,
        )
        try:
            response = await self.client.exchange(
                request, timeout=timeout, max_body_bytes=MAX_ANSWER_BYTES
            )
        except platform_errors.RequestNotSentError as error:
            raise errors.PlainServiceUnreachableError(str(error)) from error
        except platform_errors.IncompleteResponseError as error:
            raise errors.PlainServiceOutcomeUnknownError(str(error)) from error
        return models.PlainAnswer(
            response.status, response.body, response.content_type
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()
