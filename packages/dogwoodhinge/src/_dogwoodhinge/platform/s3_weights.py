"""Look-up of adapter weights in a store with the S3 protocol.

The weights of an adapter version are the object `adapter/version`. Engines
load them by URL; the node only checks that they exist.
"""

import datetime
from typing import final
import urllib.parse

from _dogwoodhinge.platform import errors as platform_errors
from _dogwoodhinge.platform import http_client
from dogwoodhinge import errors
from dogwoodhinge import hookimpl
from dogwoodhinge import models
from dogwoodhinge import ports

SCHEME = "s3"
CALL_TIMEOUT = datetime.timedelta(seconds=2)
STATUS_OK = 200
STATUS_NOT_FOUND = 404


@hookimpl.hookimpl
def open_weight_store(
    url: str, width: models.StoreWidth, clock: ports.Clock
) -> ports.WeightStore | None:
    """Opens `s3+http(s)://host:port/bucket`."""
    del clock
    http_url = http_client.split_scheme(url, SCHEME)
    return None if http_url is None else S3Weights(http_url, width)


@final
class S3Weights:
    """Implements `ports.WeightStore`."""

    def __init__(self, bucket_url: str, width: models.StoreWidth) -> None:
        self.client = http_client.HttpClient(bucket_url)
        self.name = self.client.base_url
        self.width = width

    async def find(
        self, adapter: models.AdapterVersion
    ) -> models.AdapterWeights | None:
        """Looks up the weights of an adapter version, None if missing."""
        path = _path(adapter)
        request = http_client.Request(method="HEAD", path=path)
        try:
            response = await self.client.exchange(request, timeout=CALL_TIMEOUT)
        except platform_errors.ExchangeError as error:
            raise errors.WeightStoreError(str(error)) from error
        if response.status == STATUS_NOT_FOUND:
            return None
        if response.status != STATUS_OK:
            raise errors.WeightStoreError(
                f"the weight store answered {path} with status "
                f"{response.status}"
            )
        return models.AdapterWeights(
            adapter=adapter,
            location=self.client.base_url + path,
            size=int(response.headers.get("Content-Length", 0)),
            store=self.name,
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()


def _path(adapter: models.AdapterVersion) -> str:
    name = urllib.parse.quote(adapter.adapter, safe="")
    version = urllib.parse.quote(adapter.version, safe="")
    return f"/{name}/{version}"
