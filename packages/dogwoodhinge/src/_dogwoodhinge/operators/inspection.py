"""Handlers that show revisions, status, endpoints and decisions."""

import asyncio
import dataclasses
import datetime
import json
from typing import Any

from aiohttp import web

from _dogwoodhinge import errors
from _dogwoodhinge.operators import contracts
from _dogwoodhinge.operators import dependencies as dependencies_lib
from _dogwoodhinge.operators import revision_rollout
from _dogwoodhinge.peer import peer_pb2

EXPLAIN_TIMEOUT = datetime.timedelta(seconds=2)
MAX_CONCURRENT_EXPLAIN_CALLS = 16

ROUTES = web.RouteTableDef()


@ROUTES.get("/v1/revisions/{revision}")
async def get_revision(request: web.Request) -> web.Response:
    """Shows on which nodes a revision is in force."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    revision = contracts.parse_revision(
        request.match_info["revision"], "revision"
    )
    rollout = revision_rollout.measure_rollout(
        revision,
        deps.membership.known(),
        self_id=deps.membership.self_id,
        self_revision=deps.view.revision,
    )
    body = dataclasses.asdict(rollout)
    body["in_force"] = rollout.in_force
    body["summary"] = rollout.summary()
    return web.json_response(body)


@ROUTES.get("/v1/status")
async def get_status(request: web.Request) -> web.Response:
    """Shows the status of this node and the sessions that it knows."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    readiness = deps.readiness()
    body = {
        "host_id": deps.host_id,
        "session_id": deps.membership.self_id,
        "ready": readiness.ready,
        "reasons": readiness.reasons,
        "isolation": deps.isolation(),
        "configuration": _describe_configuration(deps),
        "sessions": [_describe_session(s) for s in deps.membership.known()],
        "engines": [_to_json(engine) for engine in deps.engines()],
    }
    return web.json_response(body)


@ROUTES.get("/v1/endpoints")
async def get_endpoints(request: web.Request) -> web.Response:
    """Lists the endpoints that this node knows."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    endpoints = [_to_json(endpoint) for endpoint in deps.endpoints()]
    return web.json_response({"endpoints": endpoints})


@ROUTES.get("/v1/explain/{request_id}")
async def explain(request: web.Request) -> web.Response:
    """Returns the decision lines of a request on all nodes, by time."""
    deps = request.app[dependencies_lib.DEPENDENCIES_KEY]
    request_id = request.match_info["request_id"]
    lines = deps.decisions.explain(request_id)
    unanswered: list[str] = []
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_EXPLAIN_CALLS)

    async def collect(peer: dependencies_lib.Session) -> None:
        async with semaphore:
            try:
                lines.extend(
                    await _fetch_decision_lines(deps, peer, request_id)
                )
            except errors.PeerError:
                unanswered.append(peer.host_id)

    await asyncio.gather(*(collect(peer) for peer in deps.membership.peers()))
    decisions = [json.loads(line) for line in lines]
    decisions.sort(key=lambda decision: str(decision["time"]))
    return web.json_response(
        {
            "request_id": request_id,
            "decisions": decisions,
            "unanswered": sorted(unanswered),
        }
    )


async def _fetch_decision_lines(
    deps: dependencies_lib.Dependencies,
    peer: dependencies_lib.Session,
    request_id: str,
) -> list[str]:
    reply = await deps.peer_client.call(
        peer.peer_address,
        "Explain",
        peer_pb2.ExplainRequest(request_id=request_id),
        timeout=EXPLAIN_TIMEOUT,
    )
    return list(reply.lines)


def _describe_configuration(
    deps: dependencies_lib.Dependencies,
) -> dict[str, Any]:
    view = deps.view
    age = deps.clock.monotonic() - view.last_fresh_at
    return {
        "revision": view.revision,
        "head_revision": view.head_revision,
        "loaded": view.loaded,
        "confirmed_seconds_ago": round(age, 3) if view.loaded else None,
    }


def _describe_session(session: dependencies_lib.Session) -> dict[str, Any]:
    return {
        "session_id": session.session_id,
        "host_id": session.host_id,
        "peer_address": session.peer_address,
        "operator_address": session.operator_address,
        "zone": session.zone,
        "region": session.region,
        "state": str(session.state),
        "applied_revision": session.applied_revision,
    }


def _to_json(value: Any) -> Any:
    """Converts a value to JSON types; unsupported types become text."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {f.name: _to_json(getattr(value, f.name)) for f in fields}
    if isinstance(value, list | tuple | set | frozenset):
        return [_to_json(item) for item in value]
    if isinstance(value, dict):
        return {str(key): _to_json(item) for key, item in value.items()}
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return str(value)
