"""Times from the loss of an owner until the next one gives orders.

Seven nodes over fakes on a manual clock, so the times are those of the rules
and periods; network and engine answer at once. Run it as a module.
"""

import asyncio
import enum
import random
import statistics

from dogwoodhinge_lab import small_cluster

NODES = 7
ENGINES = 9
TRIALS = 20
SETTLE_SECONDS = 40
STEP_SECONDS = 0.1
LIMIT_SECONDS = 90


class Loss(enum.StrEnum):
    """How an owner is lost."""

    KILL = "kill"
    PAUSE = "pause"
    DRAIN = "drain"


async def measure(loss: Loss, *, checks_fencing: bool, seed: int) -> float:
    """Returns the seconds until `engine-0` takes orders again."""
    cluster = small_cluster.SmallCluster()
    for index in range(ENGINES):
        zone = small_cluster.ZONES[index % len(small_cluster.ZONES)]
        cluster.add_engine(
            f"engine-{index}", checks_fencing=checks_fencing, zone=zone
        )
    await cluster.start(NODES)
    phase = random.Random(seed).uniform(0, 3)
    await cluster.advance(SETTLE_SECONDS + phase)
    (name,) = cluster.owners()["engine-0"]
    owner = cluster.nodes[name]
    draining = await _lose(owner, loss)
    seconds = 0.0
    while not cluster.owners()["engine-0"] - {name}:
        await cluster.advance(STEP_SECONDS)
        seconds += STEP_SECONDS
        if seconds > LIMIT_SECONDS:
            break
    owner.resume()
    if draining:
        await draining
    await cluster.stop()
    return seconds


async def _lose(
    owner: small_cluster.Node, loss: Loss
) -> asyncio.Task[None] | None:
    if loss is Loss.KILL:
        await owner.stop()
    elif loss is Loss.PAUSE:
        owner.pause()
    else:
        await owner.membership.start_drain()
        return asyncio.create_task(owner.ownership.hand_over_all())
    return None


async def main() -> None:
    """Prints a line for each way to lose an owner."""
    for loss in Loss:
        for checks_fencing in (True, False):
            seconds = [
                await measure(loss, checks_fencing=checks_fencing, seed=seed)
                for seed in range(TRIALS)
            ]
            print(
                f"measure takeover loss={loss} fencing={checks_fencing} "
                f"trials={TRIALS} p50={statistics.median(seconds):.1f} s "
                f"max={max(seconds):.1f} s"
            )


if __name__ == "__main__":
    asyncio.run(main())
