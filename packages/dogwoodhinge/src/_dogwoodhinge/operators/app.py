"""The aiohttp application for operators."""

import hmac
import http

from aiohttp import web

from _dogwoodhinge.config import validation
from _dogwoodhinge.operators import contracts
from _dogwoodhinge.operators import dependencies as dependencies_lib
from _dogwoodhinge.operators import health
from _dogwoodhinge.operators import inspection
from _dogwoodhinge.operators import problems

Dependencies = dependencies_lib.Dependencies
Readiness = dependencies_lib.Readiness

# Health probes and metrics scrapers of the platform send no credential.
UNAUTHENTICATED_PATHS = frozenset({"/livez", "/readyz", "/metrics"})

_BEARER_PREFIX = "Bearer "


def build(deps: dependencies_lib.Dependencies) -> web.Application:
    """Builds the application of the operator port."""
    app = web.Application(
        client_max_size=validation.MAX_CONTRACT_BYTES,
        middlewares=[problems.middleware, authenticate],
    )
    app[dependencies_lib.DEPENDENCIES_KEY] = deps
    app.add_routes(health.ROUTES)
    app.add_routes(contracts.ROUTES)
    app.add_routes(inspection.ROUTES)
    return app


@web.middleware
async def authenticate(
    request: web.Request, handler: problems.Handler
) -> web.StreamResponse:
    """Rejects requests without the operator key, except for probes."""
    if request.path in UNAUTHENTICATED_PATHS:
        return await handler(request)
    key = request.app[dependencies_lib.DEPENDENCIES_KEY].operator_key
    header = request.headers.get("Authorization", "")
    token = (
        header.removeprefix(_BEARER_PREFIX)
        if header.startswith(_BEARER_PREFIX)
        else ""
    )
    if not hmac.compare_digest(token.encode(), key.encode()):
        raise problems.ProblemError(
            http.HTTPStatus.UNAUTHORIZED,
            "unauthorized",
            "the operator key is missing or wrong; send it as "
            "Authorization: Bearer KEY",
        )
    return await handler(request)
