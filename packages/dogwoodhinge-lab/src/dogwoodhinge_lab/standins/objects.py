"""Stand-in of the object store: a subset of the S3 protocol."""

from typing import final
from xml.etree import ElementTree

from absl import flags
from aiohttp import web

from dogwoodhinge_lab.standins import server

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
PAGE_KEYS = 100


@final
class ObjectsStandin(server.Standin[server.Faults]):
    """Serves the objects of one bucket, whatever its name.

    Attributes:
        objects: bodies by key.
    """

    def __init__(self) -> None:
        super().__init__(server.Faults())
        self.objects: dict[str, bytes] = {}
        self.app.router.add_get("/{bucket}", self._list)
        self.app.router.add_get("/{bucket}/{key:.+}", self._get)
        self.app.router.add_put("/{bucket}/{key:.+}", self._put)
        self.app.router.add_delete("/{bucket}/{key:.+}", self._delete)

    async def _get(self, request: web.Request) -> web.Response:
        body = self.objects.get(request.match_info["key"])
        if body is None:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        exists = key in self.objects
        if exists and request.headers.get("If-None-Match") == "*":
            raise web.HTTPPreconditionFailed
        self.objects[key] = await request.read()
        self.record("put", key=key)
        return web.Response()

    async def _delete(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info["key"], None)
        return web.Response(status=204)

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("continuation-token", "")
        keys = sorted(
            key
            for key in self.objects
            if key.startswith(prefix) and key > after
        )
        body = _listing(keys[:PAGE_KEYS], more=len(keys) > PAGE_KEYS)
        return web.Response(body=body, content_type="application/xml")


def _listing(keys: list[str], *, more: bool) -> bytes:
    root = ElementTree.Element("ListBucketResult", xmlns=NAMESPACE)
    for key in keys:
        contents = ElementTree.SubElement(root, "Contents")
        ElementTree.SubElement(contents, "Key").text = key
    if more:
        ElementTree.SubElement(root, "NextContinuationToken").text = keys[-1]
    return ElementTree.tostring(root)


def _make(values: flags.FlagValues) -> ObjectsStandin:
    del values
    return ObjectsStandin()


if __name__ == "__main__":
    server.run(_make)
