"""Slopes of the configuration: memory of the view, CPU of polls and changes.

The table is in memory, so that the CPU time is the view's alone; a read of
the table over HTTP is measured with the platform's slopes.
"""

import dataclasses
import gc
import time
import tracemalloc
from typing import final

from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import records
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import slope

CUSTOMERS = 500
FEW_RULES = 1
MANY_RULES = 41
POLLS = 400
CHANGES = 200
KEYS_EACH = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ViewBytes:
    """Memory of a view.

    Attributes:
        contract: bytes of an idle customer's contract, without its rules.
        rule: bytes of one more adapter rule of an idle customer.
        decoded_rule: bytes of one more rule of a contract in use.
        whole: bytes of all contracts, `CUSTOMERS` with `MANY_RULES` rules.
    """

    contract: float
    rule: float
    decoded_rule: float
    whole: float


async def measure() -> list[slope.Slope]:
    """Measures all slopes of this module."""
    memory = await measure_view_bytes()
    cluster = config_nodes.ConfigCluster(clock=manual_clock.ManualClock())
    view = cluster.add("host-1").view
    poll = await slope.cpu_microseconds(view.poll, calls=POLLS)
    change = await _measure_change(cluster)
    return [
        slope.Slope("contract of an idle customer", memory.contract, "bytes"),
        slope.Slope("adapter rule of an idle customer", memory.rule, "bytes"),
        slope.Slope(
            "adapter rule of a customer in use", memory.decoded_rule, "bytes"
        ),
        slope.Slope(
            f"contracts of {CUSTOMERS} customers, {MANY_RULES} rules each",
            memory.whole / 1e6,
            "MB",
        ),
        slope.Slope("configuration poll, no change", poll, "us of CPU"),
        slope.Slope(
            f"change applied, contract of {MANY_RULES} rules",
            change,
            "us of CPU",
        ),
    ]


async def measure_view_bytes() -> ViewBytes:
    """Measures what contracts and adapter rules take in a view."""
    few = await _measure_view(FEW_RULES)
    many = await _measure_view(MANY_RULES)
    more_rules = CUSTOMERS * (MANY_RULES - FEW_RULES)
    rule = (many - few) / more_rules
    return ViewBytes(
        contract=few / CUSTOMERS - rule * FEW_RULES,
        rule=rule,
        decoded_rule=_measure_decoded(),
        whole=many,
    )


async def _measure_view(rules: int) -> float:
    cluster = config_nodes.ConfigCluster(clock=manual_clock.ManualClock())
    log = cluster.make_log()
    for number in range(CUSTOMERS):
        draft = _make_draft(number, rules, change=0)
        await log.append(draft, expected_revision=0)
    view = cluster.add("host-1").view
    gc.collect()
    tracemalloc.start()
    begin = tracemalloc.get_traced_memory()[0]
    await view.poll()
    view.decisions.lines.clear()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - begin
    tracemalloc.stop()
    return used


def _measure_decoded() -> float:
    text = {
        rules: _make_contract(0, rules).model_dump_json()
        for rules in (FEW_RULES, MANY_RULES)
    }
    used = {}
    for rules, encoded in text.items():
        tracemalloc.start()
        kept = [
            contract_lib.Contract.model_validate_json(encoded)
            for _ in range(CUSTOMERS)
        ]
        used[rules] = tracemalloc.get_traced_memory()[0] / len(kept)
        tracemalloc.stop()
    return (used[MANY_RULES] - used[FEW_RULES]) / (MANY_RULES - FEW_RULES)


async def _measure_change(cluster: config_nodes.ConfigCluster) -> float:
    """Returns the CPU microseconds that a view spends on a change."""
    log = cluster.make_log()
    reader = cluster.add("host-2").view
    idle = await slope.cpu_microseconds(reader.poll, calls=POLLS)
    revision = 0
    for change in range(CHANGES):
        draft = _make_draft(0, MANY_RULES, change)
        revision = await log.append(draft, expected_revision=revision)
    begin = time.process_time()
    await reader.poll()
    spent = (time.process_time() - begin) * slope.MICROSECONDS
    return (spent - idle) / CHANGES


def _make_draft(number: int, rules: int, change: int) -> records.ChangeDraft:
    return records.ChangeDraft(
        change_id=f"change-{number}-{change}",
        operator="rosa",
        kind=records.ChangeKind.PUT,
        customer=f"customer-{number}",
        contract=_make_contract(number, rules),
    )


def _make_contract(number: int, rules: int) -> contract_lib.Contract:
    keys = tuple(
        contract_lib.ApiKey(
            id=f"key-{k}", sha256=contract_lib.hash_key(f"{number} {k}")
        )
        for k in range(KEYS_EACH)
    )
    adapters = tuple(
        contract_lib.AdapterRule(
            name=f"customer-{number}-adapter-{rule * 7919 % 10_000}",
            versions=(f"v{rule % 9}",),
            role="description",
        )
        for rule in range(rules)
    )
    return contract_lib.Contract(
        customer=f"customer-{number}",
        api_keys=keys,
        limits=contract_lib.Limits(requests_per_second=10.0, concurrency=8),
        adapters=adapters,
    )
