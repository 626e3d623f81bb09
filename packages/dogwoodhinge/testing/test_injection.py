"""Tests of `_dogwoodhinge.injection`."""

from collections.abc import Iterator

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import injection


@pytest.fixture(autouse=True)
def disarmed() -> Iterator[None]:
    yield
    injection.disarm_all()


async def test_fault_is_triggered_once_at_its_visit() -> None:
    injection.arm_all("load=fail@2")
    await injection.reach(injection.Step.LOAD)
    with pytest.raises(injection.InjectedFaultError):
        await injection.reach(injection.Step.LOAD)
    await injection.reach(injection.Step.LOAD)


@pytest.mark.parametrize(
    "spec",
    ["nowhere=kill", "load=explode", "load", "load=kill@soon"],
    ids=["unknown step", "unknown action", "no action", "visit no number"],
)
def test_error_names_invalid_fault(spec: str) -> None:
    with pytest.raises(errors.SettingsError, match=spec.partition("=")[0]):
        injection.arm_all(spec)
