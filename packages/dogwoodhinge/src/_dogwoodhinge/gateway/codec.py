"""The interface to the wire names of the deployment's platform."""

from typing import Protocol

import h11

from _dogwoodhinge.gateway import requests
from _dogwoodhinge.http1 import server
from dogwoodhinge import errors


class BadRequestError(errors.DogwoodhingeError):
    """A request lacks what every request must carry."""


class Codec(Protocol):
    """Translates heads of requests and answers."""

    def decode_request(self, raw: server.RawRequest) -> requests.Request:
        """Decodes a caller's request.

        Raises:
            BadRequestError: it can't be understood.
        """

    def encode_demand(
        self, request: requests.Request, demand: requests.Demand
    ) -> list[server.Header]:
        """Returns the headers with which a request goes to an engine."""

    def decode_answer(self, head: h11.Response) -> requests.AnswerHead:
        """Decodes the head of an engine's answer."""

    def own_headers(
        self, request_id: str, *, retry_after_seconds: float | None = None
    ) -> list[server.Header]:
        """Returns the headers of an answer of this node's own."""
