"""Errors of the HTTP client that the plug-ins share."""

from _dogwoodhinge import errors


class ExchangeError(errors.NodeError):
    """An HTTP exchange failed."""


class RequestNotSentError(ExchangeError):
    """The connection failed, so the request was not sent."""


class IncompleteResponseError(ExchangeError):
    """The server may have processed the request; its response is incomplete."""
