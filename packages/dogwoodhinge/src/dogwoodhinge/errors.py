"""Exceptions that port implementations raise.

Plug-ins convert the exceptions of their client libraries into these; each
layer above the ports translates them into its own.
"""

import datetime


class DogwoodhingeError(Exception):
    """Base class of all exceptions of the project."""


class PortError(DogwoodhingeError):
    """An operation on an external system failed."""


class TableError(PortError):
    """An operation on the table service failed."""


class TableUnavailableError(TableError):
    """The request was not executed: it never reached the table."""


class TableOutcomeUnknownError(TableError):
    """The response was lost; the transaction may have been committed."""


class TableConflictError(TableError):
    """A check of the transaction failed; nothing was written.

    Attributes:
        keys: the (table, key) pairs whose check failed, if the table
            reports them.
    """

    def __init__(
        self, message: str, *, keys: tuple[tuple[str, str], ...] = ()
    ) -> None:
        super().__init__(message)
        self.keys = keys


class ObjectStoreError(PortError):
    """The object store failed or timed out."""


class ObjectExistsError(ObjectStoreError):
    """A conditional put failed because the key already has an object."""


class WeightStoreError(PortError):
    """The weight store's index could not be read."""


class HostListError(PortError):
    """The list of hosts could not be read."""


class EngineError(PortError):
    """An operation on an engine failed."""


class EngineUnreachableError(EngineError):
    """The request never reached the engine and was not executed."""


class EngineOutcomeUnknownError(EngineError):
    """The request may have reached the engine and been executed."""


class EngineRefusedError(EngineError):
    """The engine responded that it did not execute the request.

    Attributes:
        status: HTTP status code of the response.
        pause: time for which the engine wants no requests from this node.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        pause: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        super().__init__(message)
        self.status = status
        self.pause = pause


class StaleFenceError(EngineRefusedError):
    """The engine has already seen a higher fencing token."""


class EngineLeavingError(EngineRefusedError):
    """The engine is leaving and accepts no new requests."""


class AdapterNotLoadedError(EngineRefusedError):
    """The requested version of the adapter is not loaded on the engine."""


class StreamBrokenError(EngineError):
    """A stream ended without its end marker, or stopped sending data.

    Attributes:
        offset: number of tokens received so far; a resumed stream starts
            there.
    """

    def __init__(self, message: str, *, offset: int) -> None:
        super().__init__(message)
        self.offset = offset


class ForeignChunkError(EngineError):
    """A chunk belongs to another request."""


class PlainServiceError(PortError):
    """A call to a plain service failed."""


class PlainServiceUnreachableError(PlainServiceError):
    """The call never reached the service and was not executed."""


class PlainServiceOutcomeUnknownError(PlainServiceError):
    """The call may have been executed."""
