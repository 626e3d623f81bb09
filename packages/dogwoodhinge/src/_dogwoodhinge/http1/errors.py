"""Errors of HTTP connections."""

from dogwoodhinge import errors


class HttpError(errors.DogwoodhingeError):
    """An HTTP connection failed."""


class ConnectError(HttpError):
    """No connection could be opened; nothing was sent.

    Attributes:
        refused: whether nothing listens at the address.
    """

    def __init__(self, message: str, *, refused: bool = False) -> None:
        super().__init__(message)
        self.refused = refused


class ConnectionLostError(HttpError):
    """The peer closed or reset the connection before the message ended."""


class ProtocolError(HttpError):
    """The peer sent data that is not valid HTTP or exceeds a limit.

    Attributes:
        status: the status that a server should respond with.
    """

    def __init__(self, message: str, *, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class PoolFullError(HttpError):
    """All connections that this node may open to an endpoint are in use."""
