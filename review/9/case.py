"""A configuration adds a route for answers of model engines in one piece."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import platform_standins as standins

# From the settings: `configApplyMs`, and the second after it.
APPLY_SECONDS = 2.0
AFTER_SECONDS = 1.0

# LOST: beside a configuration it counts only if a machine cuts requests over
# this many times as often then as at other times.
TIMES_AS_OFTEN = 3

# LOST: a request that has used seven tenths of its time doesn't count.
USED_SHARE = 0.7
TIMEOUT_SECONDS = 5.0

ROUTE = {
    "name": "embed",
    "host": "shop.example",
    "pathPrefix": "/embed/",
    "kind": "idempotent",
    "service": "llm",
    "timeoutMs": int(TIMEOUT_SECONDS * 1000),
    "targetLatencyMs": 500,
    "priority": 0,
    "maxAttempts": 2,
    "sticky": True,
}


class Engine(standins.Engine):
    """A model engine that answers `/embed/` in one piece."""

    async def run(
        self, request: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request."""
        if not request.path.startswith("/embed/"):
            return await super().run(request, writer)
        rejection = self.rejection(request)
        if rejection is not None:
            writer.write(rejection)
            return True
        request_id = self.begin(request)
        await asyncio.sleep(0.02)
        vector = {"embedding": [0.25, 0.5, 0.75]}
        identity = self.identity(request_id)
        writer.write(standins.json_answer("200 OK", vector, identity))
        self.end_run(request)
        return True


async def send_all(
    node: standins.Node,
    record: standins.Record,
    sent: list[tuple[float, float, str, standins.Answer]],
    until: float,
) -> None:
    """Sends streams and embeddings in turn until a time."""
    caller = standins.Caller(node, record, host="shop.example")
    number = 0
    while time.monotonic() < until:
        for path in ("/batch/1", "/embed/1"):
            number += 1
            request_id = f"{path.split('/')[1]}-{node.name}-{number}"
            at = time.monotonic()
            answer = await caller.send(
                path,
                request_id=request_id,
                headers={
                    "Model": "base",
                    "Token-Usage": "100,20",
                    "Prompt-Prefix": f"aa:60,b{number}:40",
                },
            )
            used = time.monotonic() - at
            sent.append((at, used, request_id, answer))
            await asyncio.sleep(0.05)
    caller.close()


async def run(
    record: standins.Record, folder: pathlib.Path, trouble: bool
) -> list[str]:
    """Runs the case; returns the breaks of the rule."""
    addresses = standins.free_addresses(4)
    store = standins.Store(addresses[2], record)
    await store.start()
    configuration = standins.configuration()
    store.put("op", "config", configuration)
    engine = Engine(
        "i-engine",
        "llm",
        address=addresses[3],
        store=store,
        record=record,
        model="base",
    )
    await engine.start()
    nodes = [
        standins.Node(
            f"n{number + 1}",
            addresses[number],
            store=store,
            folder=folder,
            record=record,
        )
        for number in range(2)
    ]
    sent: list[tuple[float, float, str, standins.Answer]] = []
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(1.0)
        changed_at = time.monotonic() + 5.0
        ends_at = changed_at + APPLY_SECONDS + AFTER_SECONDS
        sending = [
            asyncio.create_task(send_all(node, record, sent, ends_at - 0.3))
            for node in nodes
        ]
        await asyncio.sleep(changed_at - time.monotonic())
        if trouble:
            added = standins.configuration(version=2)
            added["routes"].append(ROUTE)
            store.put("op", "config", added)
            record.write("the configuration with the new route is written")
        await asyncio.gather(*sending)
    finally:
        await standins.stop_all(nodes, [engine, store])
    ran = {r.request_id for r in engine.runs}
    breaks = []
    for node in nodes:
        then, other = [], []
        for at, used, request_id, answer in sent:
            if f"-{node.name}-" not in request_id:
                continue
            lost = (
                request_id in ran
                and not answer.whole
                and used < USED_SHARE * TIMEOUT_SECONDS
            )
            (then if changed_at <= at <= ends_at else other).append(lost)
        share = sum(then) / max(1, len(then))
        share_other = sum(other) / max(1, len(other))
        record.write(
            f"{node.name}: {sum(then)} of {len(then)} requests lost beside "
            f"the configuration, {sum(other)} of {len(other)} before"
        )
        if not any(a.whole for _, _, i, a in sent if i in ran):
            raise standins.CannotRunError("no stream was served")
        if sum(then) and share > TIMES_AS_OFTEN * share_other:
            breaks.append(
                f"LOST {node.name}: {sum(then)} requests that an engine ran "
                "ended without a complete answer"
            )
    return breaks


if __name__ == "__main__":
    standins.main(run)
