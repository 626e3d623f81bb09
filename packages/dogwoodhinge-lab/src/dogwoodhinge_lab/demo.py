"""Starts stand-ins and three nodes, sends requests and shows the answers.

`make demo` runs it. With `--demo_seconds=0` the fleet stays up until Ctrl-C.
"""

import asyncio
import contextlib
import signal

from absl import app
from absl import flags

from dogwoodhinge_lab import fleet as fleet_lib
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_shape

DEMO_SECONDS = flags.DEFINE_float(
    "demo_seconds",
    5.0,
    "how long the fleet stays up after the requests; 0: until Ctrl-C",
    lower_bound=0,
)

MODELS = ("description-17@v1", "description-17@v2", "booking-4@v1")
PROMPT = "Write a condition note for a pallet of amburana staves."
IN_FORCE_SECONDS = 20.0

SHAPE = fleet_shape.Shape(
    nodes=3,
    engines=(
        fleet_shape.EngineShape(engine_id="description-engine-1"),
        fleet_shape.EngineShape(
            engine_id="description-engine-2", zone=fleet_shape.ZONES[1]
        ),
        fleet_shape.EngineShape(
            engine_id="booking-engine-1",
            role="booking",
            zone=fleet_shape.ZONES[2],
            checks_fencing=False,
        ),
    ),
    services=("yard",),
    separate_standins=True,
)


def main(argv: list[str]) -> None:
    """Runs the demonstration; raises when an answer is wrong."""
    del argv
    asyncio.run(_run(DEMO_SECONDS.value))


async def _run(seconds: float) -> None:
    _say("starting stand-ins and three nodes as processes")
    async with fleet_lib.Fleet(SHAPE) as fleet:
        revision = await fleet.apply_contract()
        await fleet.settle()
        await _wait_in_force(fleet, revision)
        _say(f"contract in force on all nodes at revision {revision}")
        await _send_generations(fleet)
        await _send_reservation(fleet)
        _show_decisions(fleet.running_nodes())
        _show_addresses(fleet.running_nodes())
        await _stay(seconds)
        _say("draining the nodes and stopping everything")
    _say("done")


async def _wait_in_force(fleet: fleet_lib.Fleet, revision: int) -> None:
    async def is_in_force() -> bool:
        statuses = [await node.status() for node in fleet.running_nodes()]
        return all(
            status["configuration"]["revision"] >= revision
            for status in statuses
        )

    await fleet_clients.poll_until(
        is_in_force, what="the contract in force", seconds=IN_FORCE_SECONDS
    )


async def _send_generations(fleet: fleet_lib.Fleet) -> None:
    nodes = fleet.running_nodes()
    for node, model in zip(nodes, MODELS, strict=True):
        wanted = fleet_clients.Completion(model=model, prompt=PROMPT)
        answer = await fleet.caller.complete(node.caller_url, wanted)
        _require(answer.status == fleet_clients.STATUS_OK, answer)
        _say(f"{node.host_id} answered {model}: {answer.text.strip()!r}")


async def _send_reservation(fleet: fleet_lib.Fleet) -> None:
    """Sends one reservation twice, to two nodes; it runs once."""
    first, second = fleet.running_nodes()[:2]
    wanted = fleet_clients.ServiceCall(
        service="yard",
        operation="reserve",
        key="demo-reservation-1",
        body={"pallet": 7, "cooper": "Petrolina"},
    )
    answer = await fleet.caller.call(first.caller_url, wanted)
    again = await fleet.caller.call(second.caller_url, wanted)
    _require(answer.status == fleet_clients.STATUS_OK, answer)
    _require(again.replayed and again.text == answer.text, again)
    _say(f"{first.host_id} reserved: {answer.text!r}")
    _say(f"{second.host_id} got the same key and replayed that answer")


def _require(holds: bool, answer: fleet_clients.CallerAnswer) -> None:
    if not holds:
        raise SystemExit(f"demo: unexpected answer {answer}")


def _show_decisions(nodes: list[fleet_members.FleetNode]) -> None:
    for node in nodes:
        _say(f"decision lines of {node.host_id}:")
        text = node.process.log_path.read_text(errors="replace")
        for line in text.splitlines():
            if "decision=" in line:
                print("   ", line.partition("] ")[2])


def _show_addresses(nodes: list[fleet_members.FleetNode]) -> None:
    node = nodes[0]
    _say("addresses:")
    for shown in nodes:
        print(f"    {shown.host_id} callers {shown.caller_url}")
        print(f"    {shown.host_id} operators {shown.operator_url}")
    _say("try:")
    print(
        f"    curl -s {node.caller_url}/v1/completions"
        f" -H 'Authorization: Bearer {fleet_shape.API_KEY}'"
        " -H 'Content-Type: application/json'"
        f' -d \'{{"model":"{MODELS[0]}","prompt":"hello"}}\''
    )
    print(
        f"    DOGWOODCTL_OPERATOR_KEY={fleet_shape.OPERATOR_KEY}"
        f" DOGWOODCTL_NODES={node.operator_url} dogwoodctl status"
    )


async def _stay(seconds: float) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    if not seconds:
        _say("the fleet stays up until Ctrl-C")
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds or None):
            await stop.wait()


def _say(line: str) -> None:
    print(f"demo: {line}", flush=True)


if __name__ == "__main__":
    app.run(main)
