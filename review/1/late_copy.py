"""Case: a late second copy of a refusal, on the connection of the retry.

Exits with 1 if a request that may run once ran twice, or was refused although
it ran; 0 if neither happened; 2 if the case could not run.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# garble: `how = "extra late", share = 0.6, x = 0.03, for_s = 5.0`.
COPY_SHARE = 0.03
GARBLE_SECONDS = 5.0
GARBLE_PAUSE_SECONDS = 0.5

# An endpoint turns work away with 503 and Retry-After while it is full.
CYCLE_SECONDS = 0.7
FULL_SECONDS = 0.1
# Each one says when it expects to have room again.
RETRY_AFTER_SECONDS = (0.2, 0.4)
WORK_SECONDS = 0.045

DURATION_SECONDS = 80.0
NODE_COUNT = 5
SERVICE = "yard-app"


class Endpoints:
    """The endpoints of the service; one of the two is faulty."""

    def __init__(self, store: standins.Store, record: standins.Record) -> None:
        self.record = record
        self.runs: dict[str, list[str]] = {}
        self.copies = 0
        self.began_at = time.monotonic()
        self.rng = random.Random(35)
        self.engines = [
            standins.Engine(
                f"yard-{number}",
                SERVICE,
                store=store,
                handler=self._handler(f"yard-{number}", faulty=number == 2),
            )
            for number in (1, 2)
        ]

    def _is_full(self) -> bool:
        now = time.monotonic() - self.began_at
        return now % CYCLE_SECONDS < FULL_SECONDS

    def _copies_now(self) -> bool:
        now = time.monotonic() - self.began_at
        period = GARBLE_SECONDS + GARBLE_PAUSE_SECONDS
        return now % period < GARBLE_SECONDS

    def _handler(self, name: str, *, faulty: bool) -> standins.Handler:
        async def handle(
            request: standins.Request, connection: standins.Connection
        ) -> bool:
            return await self._answer(name, request, connection, faulty=faulty)

        return handle

    async def _answer(
        self,
        name: str,
        request: standins.Request,
        connection: standins.Connection,
        *,
        faulty: bool,
    ) -> bool:
        attempt = request.headers.get("attempt-id", "")
        if connection.late_copy:
            # "An extra response may arrive late, at the point where the next
            # response is expected."
            self.copies += 1
            self.record.write("late_copy", engine=name, before=attempt)
            await connection.write(connection.late_copy)
            connection.late_copy = b""
        if self._is_full():
            self.record.write("turned_away", engine=name, attempt=attempt)
            answer = standins.response(
                "503 Service Unavailable",
                Attempt_Id=attempt,
                Not_Executed="1",
                Retry_After=f"{self.rng.uniform(*RETRY_AFTER_SECONDS):.3f}",
            )
        else:
            self.runs.setdefault(attempt, []).append(name)
            self.record.write("run", engine=name, attempt=attempt)
            await asyncio.sleep(WORK_SECONDS)
            answer = standins.response(
                "200 OK",
                b"reserved " + attempt.encode(),
                Attempt_Id=attempt,
                Response_Signature="sig." + attempt,
            )
        await connection.write(answer)
        if (
            TROUBLE
            and faulty
            and self._copies_now()
            and self.rng.random() < COPY_SHARE
        ):
            connection.late_copy = answer
        return True


async def call(
    node: standins.Node,
    number: int,
    until: float,
    answers: dict[str, int],
    record: standins.Record,
) -> None:
    """Sends one reservation after the other through one node."""
    count = 0
    while time.monotonic() < until:
        count += 1
        attempt = f"{number:02x}{count:014x}"
        record.write("sent", node=node.name, attempt=attempt)
        status = 0
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            answer = await standins.fetch(
                node.address,
                8149,
                "POST",
                "/reserve/pallet",
                {
                    "Host": "yard.example",
                    "Attempt-Id": attempt,
                    "Deadline-Ms": "1500",
                },
                body=b"pallet",
                seconds=1.7,
            )
            status = answer.status
        answers[attempt] = status
        record.write("answered", attempt=attempt, status=status)
        await asyncio.sleep(0.02)


async def main() -> int:
    """Plays the case and judges it."""
    record = standins.Record(FOLDER / "record.txt")
    store = standins.Store()
    prefix = standins.loopback_prefix()
    nodes: list[standins.Node] = []
    endpoints = Endpoints(store, record)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            store.put(
                "op",
                "config",
                standins.configuration(
                    1,
                    [
                        standins.plain_route(
                            "reserve", "non_idempotent", SERVICE
                        )
                    ],
                    [SERVICE],
                ),
            )
            for engine in endpoints.engines:
                await engine.start()
            for number in range(1, NODE_COUNT + 1):
                node = standins.Node(
                    f"n{number}", f"{prefix}.{number}", "z1", folder
                )
                node.store_port = await store.listen(node.name)
                node.write_settings()
                nodes.append(node)
                await node.start()
            try:
                for node in nodes:
                    await node.wait_ready()
            except TimeoutError:
                record.write("not_ready")
                return 2
            await asyncio.sleep(3.0)
            answers: dict[str, int] = {}
            until = time.monotonic() + DURATION_SECONDS
            await asyncio.gather(
                *(
                    call(node, number, until, answers, record)
                    for number, node in enumerate(nodes)
                )
            )
            await asyncio.sleep(2.0)
        finally:
            for node in nodes:
                await node.kill()
            for engine in endpoints.engines:
                engine.stop()
            store.stop()
    served = sum(status == 200 for status in answers.values())
    twice = {a: r for a, r in endpoints.runs.items() if len(r) > 1}
    refused = [
        a
        for a, status in answers.items()
        if status in (408, 421, 429, 503) and a in endpoints.runs
    ]
    for attempt, runs in twice.items():
        record.write("TWICE", attempt=attempt, engines=",".join(runs))
    for attempt in refused:
        record.write("REFUSED", attempt=attempt, status=answers[attempt])
    summary = (
        f"requests={len(answers)} served={served} copies={endpoints.copies} "
        f"twice={len(twice)} refused_but_run={len(refused)}"
    )
    record.write("summary", result=summary.replace(" ", ","))
    print(summary)
    if served < len(answers) / 2:
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(main))
