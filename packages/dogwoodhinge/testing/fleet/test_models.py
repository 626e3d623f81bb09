"""Tests of the adapter capacity of engines."""

import datetime

import pytest

from _dogwoodhinge.fleet import models


def make_class(
    *, slots: int, weights_mb: float, model_mb: float, adapter_mb: float
) -> models.EngineClass:
    """Returns an engine class with one base model."""
    return models.EngineClass(
        request_slots=8,
        memory_tokens=100_000,
        weights_mb=weights_mb,
        adapter_places=slots,
        loads_per_second=1,
        base_models={
            "base": models.BaseModel(
                name="base",
                size_mb=model_mb,
                load_time=datetime.timedelta(seconds=1),
                adapter_size_mb=adapter_mb,
            )
        },
    )


@pytest.mark.parametrize(
    ("slots", "weights_mb", "adapter_mb", "held", "expected"),
    [
        pytest.param(8, 100.0, 2.0, ("base",), 8, id="slots_are_the_limit"),
        pytest.param(8, 90.0, 2.0, ("base",), 5, id="memory_is_the_limit"),
        pytest.param(8, 80.0, 2.0, ("base",), 0, id="base_model_fills_memory"),
        pytest.param(8, 90.0, 0.0, ("base",), 8, id="adapter_size_unknown"),
        pytest.param(8, 90.0, 2.0, (), 8, id="no_base_model"),
    ],
)
def test_adapter_capacity_is_limited_by_slots_and_memory(
    slots: int,
    weights_mb: float,
    adapter_mb: float,
    held: tuple[str, ...],
    expected: int,
) -> None:
    """Soak check LIMIT: memory may run out before the adapter slots do."""
    engine_class = make_class(
        slots=slots,
        weights_mb=weights_mb,
        model_mb=80.0,
        adapter_mb=adapter_mb,
    )
    assert engine_class.adapter_capacity(held) == expected
