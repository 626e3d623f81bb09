"""Handlers of health probes and metrics, which need no credential."""

import http

from aiohttp import web

from _dogwoodhinge.operators import dependencies

ROUTES = web.RouteTableDef()


@ROUTES.get("/livez")
async def get_liveness(request: web.Request) -> web.Response:
    """Returns 200 if the process is healthy, else 503."""
    live = request.app[dependencies.DEPENDENCIES_KEY].is_live()
    return _text_response(live, "live" if live else "not live")


@ROUTES.get("/readyz")
async def get_readiness(request: web.Request) -> web.Response:
    """Returns 200 if the node accepts new requests, else 503 with reasons."""
    readiness = request.app[dependencies.DEPENDENCIES_KEY].readiness()
    reasons = ", ".join(readiness.reasons)
    text = "ready" if readiness.ready else f"not ready: {reasons}"
    return _text_response(readiness.ready, text)


@ROUTES.get("/metrics")
async def get_metrics(request: web.Request) -> web.StreamResponse:
    """Serves a metrics scrape."""
    return await request.app[dependencies.DEPENDENCIES_KEY].metrics(request)


def _text_response(ok: bool, text: str) -> web.Response:
    status = http.HTTPStatus.OK
    if not ok:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
    return web.Response(status=status.value, text=text + "\n")
