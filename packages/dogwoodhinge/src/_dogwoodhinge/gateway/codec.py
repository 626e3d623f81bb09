"""The interface to the HTTP headers of the deployment platform."""

from typing import Protocol

import h11

from _dogwoodhinge.gateway import requests
from _dogwoodhinge.http1 import server
from dogwoodhinge import errors


class BadRequestError(errors.DogwoodhingeError):
    """A request lacks a required header or has an invalid value."""


class Codec(Protocol):
    """Converts the heads of requests and responses."""

    def decode_request(self, raw: server.RawRequest) -> requests.Request:
        """Decodes a caller's request.

        Raises:
            BadRequestError: a required value is missing or invalid.
        """

    def encode_dispatch(
        self, request: requests.Request, parameters: requests.DispatchParameters
    ) -> list[server.Header]:
        """Returns the headers of a request that is sent to an engine."""

    def decode_response(self, head: h11.Response) -> requests.ResponseHead:
        """Decodes the head of an engine's response."""

    def node_response_headers(
        self, request_id: str, *, retry_after_seconds: float | None = None
    ) -> list[server.Header]:
        """Returns the headers of a response that this node creates."""
