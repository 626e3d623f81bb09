"""Object store over the S3 protocol; requests are not signed."""

import datetime
from typing import final
import urllib.parse
from xml.dom import minidom
from xml.parsers import expat

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import ports

SCHEME = "s3"
CALL_TIMEOUT = datetime.timedelta(seconds=10)
MAX_OBJECT_BYTES = 64 * 1024 * 1024
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION_FAILED = 412
SUCCESS_STATUSES = frozenset({200, 204})


@hookimpl.hookimpl
def open_object_store(url: str, clock: ports.Clock) -> ports.ObjectStore | None:
    """Opens `s3+http(s)://host:port/bucket`."""
    del clock
    http_url = http_client.split_scheme(url, SCHEME)
    return None if http_url is None else S3Objects(http_url)


@final
class S3Objects:
    """Implements `ports.ObjectStore`."""

    def __init__(self, bucket_url: str) -> None:
        self.client = http_client.HttpClient(bucket_url)

    async def get(self, key: str) -> bytes | None:
        """Reads an object; returns None if it does not exist."""
        response = await self._call("GET", _path(key))
        if response.status == STATUS_NOT_FOUND:
            return None
        _require_success(
            response.status == STATUS_OK, response, f"reading {key}"
        )
        if not response.framed:
            raise errors.ObjectStoreError(
                f"the object store sent {key} without a length, so "
                f"{len(response.body)} bytes may not be the whole object"
            )
        return response.body

    async def put(
        self, key: str, data: bytes, *, only_if_absent: bool = False
    ) -> None:
        """Writes an object.

        Raises:
            ObjectExistsError: the object exists and only_if_absent is set.
        """
        headers = {"If-None-Match": "*"} if only_if_absent else {}
        response = await self._call("PUT", _path(key), data, headers)
        if response.status == STATUS_PRECONDITION_FAILED:
            raise errors.ObjectExistsError(f"the object {key!r} already exists")
        _require_success(
            response.status in SUCCESS_STATUSES, response, f"writing {key}"
        )

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Lists the keys with a prefix in order, over all pages."""
        keys: list[str] = []
        token = ""
        while True:
            response = await self._call("GET", _list_path(prefix, token))
            _require_success(
                response.status == STATUS_OK, response, f"listing {prefix}"
            )
            page, token = _parse_listing(response.body)
            keys.extend(page)
            if not token:
                return tuple(keys)

    async def delete(self, key: str) -> None:
        """Deletes an object; a missing one is not an error."""
        response = await self._call("DELETE", _path(key))
        success = response.status in SUCCESS_STATUSES
        _require_success(
            success or response.status == STATUS_NOT_FOUND,
            response,
            f"deleting {key}",
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        request = http_client.Request(
            method=method, path=path, body=body, headers=headers or {}
        )
        try:
            return await self.client.exchange(
                request, timeout=CALL_TIMEOUT, max_body_bytes=MAX_OBJECT_BYTES
            )
        except platform_errors.ExchangeError as error:
            raise errors.ObjectStoreError(str(error)) from error


def _path(key: str) -> str:
    return "/" + urllib.parse.quote(key)


def _list_path(prefix: str, token: str) -> str:
    query = {"list-type": "2", "prefix": prefix}
    if token:
        query["continuation-token"] = token
    return "?" + urllib.parse.urlencode(query)


def _parse_listing(body: bytes) -> tuple[list[str], str]:
    """Returns the keys of a page and the token of the next page."""
    try:
        # absl imports minidom anyway; ElementTree would add 0.4 MB.
        document = minidom.parseString(body)
    except expat.ExpatError as error:
        raise errors.ObjectStoreError(
            f"the object store's listing can't be parsed: {error}"
        ) from error
    tokens = _element_texts(document, "NextContinuationToken")
    return _element_texts(document, "Key"), tokens[0] if tokens else ""


def _element_texts(document: minidom.Document, name: str) -> list[str]:
    elements = document.getElementsByTagNameNS("*", name)
    return [
        "".join(
            node.data
            for node in element.childNodes
            if isinstance(node, minidom.Text)
        )
        for element in elements
    ]


def _require_success(
    success: bool, response: http_client.Response, action: str
) -> None:
    if not success:
        raise errors.ObjectStoreError(
            f"the object store answered {action} with status {response.status}"
        )
