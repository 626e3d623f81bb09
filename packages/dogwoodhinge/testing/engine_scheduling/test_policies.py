"""Tests of `engine_scheduling.policies`, the queue and the estimator."""

import asyncio
import collections
import datetime
from typing import Any

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import kernel as kernel_lib
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.engine_scheduling import adapter_slots
from _dogwoodhinge.engine_scheduling import estimator as estimator_lib
from _dogwoodhinge.engine_scheduling import policies
from _dogwoodhinge.engine_scheduling import policy
from _dogwoodhinge.engine_scheduling import policy_factory
from _dogwoodhinge.engine_scheduling import request_queue as queue_lib
from _dogwoodhinge.engine_scheduling import tuning
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock

NOW = 100.0
RED = models.AdapterVersion("red", "1")
GREEN = models.AdapterVersion("green", "1")


def queued(
    name: str = "request",
    *,
    adapter: models.AdapterVersion = RED,
    priority: int = 1,
    waited: float = 0.0,
    left: float = 30.0,
    virtual_start: float = 0.0,
) -> queue_lib.QueuedRequest:
    return queue_lib.QueuedRequest(
        request=peer_pb2.AdmitRequest(request_id=name, priority=priority),
        adapter=adapter,
        arrived_at=NOW - waited,
        deadline_at=NOW + left,
        expected_seconds=1.0,
        is_long=False,
        virtual_start=virtual_start,
        reply=asyncio.get_running_loop().create_future(),
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"priority": 0}, {"waited": 9}, id="priority"),
        pytest.param({"left": 5}, {"left": 30}, id="less slack"),
        pytest.param(
            {"left": 30}, {"left": 29, "virtual_start": 2}, id="fairness"
        ),
        pytest.param(
            {"adapter": GREEN, "virtual_start": 0.5}, {}, id="running batch"
        ),
        pytest.param(
            {"waited": 3, "virtual_start": 9}, {"adapter": GREEN}, id="overdue"
        ),
    ],
)
async def test_deadline_policy(
    first: dict[str, Any], second: dict[str, Any]
) -> None:
    view = policy.QueueView(
        now=NOW,
        virtual_time=0.0,
        batch_adapters=frozenset({GREEN}),
        tuning=tuning.Tuning(),
    )
    ranks = [
        policies.DeadlinePolicy().rank(queued(**members), view)
        for members in (first, second)
    ]
    assert ranks[0] < ranks[1]


def slot(
    adapter: models.AdapterVersion, used_at: float
) -> adapter_slots.AdapterSlot:
    return adapter_slots.AdapterSlot(
        adapter, adapter_slots.SlotState.RESIDENT, 0.0, used_at, "e"
    )


def test_least_worth_keeps_the_most_requested_adapter() -> None:
    least_worth = policies.LeastWorthPolicy(datetime.timedelta(seconds=60))
    for at in (0.0, 1.0, 2.0):
        least_worth.note_demand(RED, at)
    least_worth.note_demand(GREEN, 3.0)
    candidates = [slot(RED, 2.0), slot(GREEN, 3.0)]
    assert least_worth.choose(candidates, 4.0) == GREEN
    least_worth.note_demand(GREEN, 300.0)
    assert least_worth.choose(candidates, 301.0) == RED
    assert least_worth.choose([], 301.0) is None


def test_lru_evicts_the_least_recently_used_adapter() -> None:
    candidates = [slot(RED, 2.0), slot(GREEN, 3.0)]
    assert policies.LruPolicy().choose(candidates, 4.0) == RED


@pytest.mark.parametrize("setting", ["queue_policy", "eviction_policy"])
def test_unknown_policy_error_names_the_flag(setting: str) -> None:
    kernel = kernel_lib.Kernel(clock=manual_clock.ManualClock())
    kernel.manager.register(policies)
    settings = settings_lib.Settings(
        host_id="host-1",
        table_url="dynamodb+http://127.0.0.1:1",
        object_store_url="s3+http://127.0.0.1:1/objects",
        weight_store_url="s3+http://127.0.0.1:1/weights",
        host_list_url="sd+http://127.0.0.1:1/hosts",
    ).model_copy(update={setting: "nothing"})
    with pytest.raises(errors.KernelError, match=f"--{setting}='nothing'"):
        policy_factory.KernelPolicyFactory(kernel, settings)


def test_customers_are_served_by_weight() -> None:
    queue = queue_lib.RequestQueue()
    tags = []
    for customer, weight in (("heavy", 3.0), ("light", 1.0)):
        for _ in range(30):
            tags.append((queue.start_tag(customer, weight, 1.0), customer))
    first = [customer for _, customer in sorted(tags)[:20]]
    assert collections.Counter(first) == {"heavy": 15, "light": 5}


def test_finish_tags_are_bounded() -> None:
    queue = queue_lib.RequestQueue()
    for number in range(5_000):
        queue.start_tag(f"customer-{number}", 1.0, 1.0)
    assert len(queue.finish_tags) <= 4_000


@pytest.mark.parametrize(
    ("max_tokens", "expected"),
    [
        pytest.param(0, 50, id="no limit"),
        pytest.param(20, 20, id="limit below history"),
        pytest.param(200, 50, id="history below limit"),
        pytest.param(4_000, 2_000, id="limit far above history"),
    ],
)
def test_expected_tokens(max_tokens: int, expected: float) -> None:
    estimator = estimator_lib.Estimator()
    for _ in range(60):
        estimator.learn(RED, output_tokens=50, gap_seconds=0.02, max_tokens=200)
    found = estimator.estimate(RED, prompt_tokens=0, max_tokens=max_tokens)
    assert found.output_tokens == pytest.approx(expected, rel=0.01)
    assert found.seconds == pytest.approx(expected * 0.02, rel=0.01)


def test_unusual_request_does_not_change_the_mean() -> None:
    estimator = estimator_lib.Estimator()
    estimator.learn(
        RED, output_tokens=3_000, gap_seconds=0.03, max_tokens=4_000
    )
    usual = estimator.estimate(RED, prompt_tokens=0, max_tokens=0)
    assert usual.output_tokens == estimator_lib.DEFAULT_OUTPUT_TOKENS
