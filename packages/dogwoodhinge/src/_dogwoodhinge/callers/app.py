"""The aiohttp application for callers."""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
from typing import final
import uuid

from absl import logging
from aiohttp import typedefs
from aiohttp import web

from _dogwoodhinge.callers import authentication
from _dogwoodhinge.callers import bodies
from _dogwoodhinge.callers import dependencies
from _dogwoodhinge.callers import generation_handlers
from _dogwoodhinge.callers import paced_connection
from _dogwoodhinge.callers import problems
from _dogwoodhinge.callers import service_handlers

Dependencies = dependencies.Dependencies
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

HEALTH_PATHS = frozenset({"/livez", "/readyz"})
CLIENT_CLOSED_REQUEST = 499
SHUTDOWN_TIMEOUT_SECONDS = 1.0  # a drain has already waited for requests
UNKNOWN_PATH = "unknown"

# Time within which a caller has to take a whole answer.
SEND_TIMEOUT = datetime.timedelta(seconds=30)

# What a connection buffers of a body that is not read yet.
READ_BUFFER_BYTES = 16 * 1024


def build(deps: Dependencies) -> web.Application:
    """Builds the application, to be served through `build_runner`."""
    app = web.Application(
        middlewares=[_request_middleware(deps)],
        client_max_size=deps.settings.max_body_bytes,
        handler_args={
            "read_bufsize": READ_BUFFER_BYTES,
            "keepalive_timeout": deps.settings.keepalive_seconds,
        },
    )
    generation = generation_handlers.GenerationHandlers(deps)
    services = service_handlers.ServiceHandlers(deps)
    health = HealthHandlers(deps)
    app.router.add_get("/livez", health.live)
    app.router.add_get("/readyz", health.ready)
    app.router.add_get("/v1/models", generation.list_models)
    app.router.add_post(bodies.COMPLETIONS_PATH, generation.complete)
    app.router.add_post(bodies.CHAT_PATH, generation.complete)
    app.router.add_route(
        "*", "/v1/services/{service}/{operation}", services.call
    )
    return app


def build_runner(app: web.Application) -> web.AppRunner:
    """Returns a runner that cancels a handler when its caller disconnects."""
    return web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )


@final
class HealthHandlers:
    """Handlers of the liveness and readiness probes."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps

    async def live(self, request: web.Request) -> web.Response:
        """Returns 200 while the process can handle requests."""
        del request
        return web.json_response({"live": True})

    async def ready(self, request: web.Request) -> web.Response:
        """Returns 200 if the load balancer should route requests here."""
        del request
        reason = self.deps.unready_reason()
        if reason:
            return web.json_response(
                {"ready": False, "reason": reason}, status=503
            )
        return web.json_response({"ready": True})


@final
class RequestMiddleware:
    """Assigns request ids and turns errors into problem responses."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps

    async def serve(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Runs the handler of a request and counts its outcome."""
        if request.path in HEALTH_PATHS:
            return await handler(request)
        connection = paced_connection.of_request(request)
        if connection is None:
            return await self._serve_paced(request, handler)
        with connection.request():
            return await self._serve_paced(request, handler)

    async def _serve_paced(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        request[authentication.REQUEST_ID] = request_id
        status = CLIENT_CLOSED_REQUEST
        try:
            with (
                self.deps.request_tracker.request(),
                self.deps.connection_limit.request(request.protocol),
            ):
                response = await self._handle(request, handler, request_id)
            status = response.status
            if not response.prepared:
                response.headers[problems.REQUEST_ID_HEADER] = request_id
                await self._send(request, response)
        finally:
            self.deps.request_memory.end(request)
            self.deps.request_tracker.count_finished(
                _path_pattern(request), status
            )
        return response

    async def _send(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Sends a whole answer, which counts until the kernel has taken it.

        The connection ends if its caller has left or does not read.
        """
        size = response.content_length or 0
        self.deps.request_memory.begin_answer(request, size)
        try:
            async with asyncio.timeout(SEND_TIMEOUT.total_seconds()):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            logging.warning("an answer of %d bytes was not read", size)
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError as error:
            logging.info("an answer of %d bytes was not sent: %s", size, error)

    async def _handle(
        self, request: web.Request, handler: Handler, request_id: str
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            limit = self.deps.settings.max_body_bytes
            problem = problems.too_large(limit).problem
        except web.HTTPException as error:
            problem = problems.from_http_error(error.status, error.reason)
        except ConnectionError:
            raise  # the caller has disconnected
        except Exception as error:
            problem = problems.from_exception(error)
            if problem.status == problems.INTERNAL_ERROR:
                logging.error("request %s failed", request_id, exc_info=error)
        return problems.build_response(problem, request_id)


def _request_middleware(deps: Dependencies) -> typedefs.Middleware:
    middleware = RequestMiddleware(deps)

    @web.middleware
    async def serve(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        return await middleware.serve(request, handler)

    return serve


def _path_pattern(request: web.Request) -> str:
    """Returns the route pattern, which keeps metric labels bounded."""
    resource = request.match_info.route.resource
    return UNKNOWN_PATH if resource is None else resource.canonical
