"""Tests of `_dogwoodhinge.kernel`."""

import importlib.metadata
import pathlib
import sys

import pytest

from _dogwoodhinge import errors
from _dogwoodhinge import kernel as kernel_lib
from dogwoodhinge import models
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

EXTERNAL_PLUGIN = """
from dogwoodhinge import hookimpl
from dogwoodhinge_lab import memory_table


@hookimpl.hookimpl
def open_table(url, clock):
    if url.startswith("memory://"):
        return memory_table.MemoryTable()
    return None
"""
WIDTH = models.StoreWidth(2, 16, 3.0)


@pytest.fixture
def kernel(monkeypatch: pytest.MonkeyPatch) -> kernel_lib.Kernel:
    platform = tuple(
        name
        for name in kernel_lib.BUILT_IN_PLUGINS
        if name.startswith("_dogwoodhinge.platform.")
    )
    monkeypatch.setattr(kernel_lib, "BUILT_IN_PLUGINS", platform)
    return kernel_lib.Kernel(clock=manual_clock.ManualClock())


@pytest.fixture
def external_package(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> str:
    """Installs a package that declares its plug-in as an entry point."""
    (tmp_path / "outside_table.py").write_text(EXTERNAL_PLUGIN)
    distribution = tmp_path / "outside_table-1.0.dist-info"
    distribution.mkdir()
    (distribution / "METADATA").write_text("Name: outside-table\nVersion: 1.0")
    (distribution / "entry_points.txt").write_text(
        f"[{kernel_lib.ENTRY_POINT_GROUP}]\noutside = outside_table\n"
    )
    monkeypatch.syspath_prepend(str(tmp_path))
    monkeypatch.delitem(sys.modules, "outside_table", raising=False)
    return "outside_table"


def test_built_ins_open_every_port(kernel: kernel_lib.Kernel) -> None:
    kernel.register_all()
    assert kernel.open_table("dynamodb+http://10.0.0.1:1")
    assert kernel.open_object_store("s3+http://10.0.0.1:1/b")
    assert kernel.open_weight_store("s3+https://10.0.0.1:1/b", WIDTH)
    assert kernel.open_host_list("sd+http://10.0.0.1:1/hosts")
    kind = models.EndpointKind.ENGINE
    endpoint = models.Endpoint("e-1", kind, "http://10.0.0.1:1")
    assert kernel.open_engine(endpoint)
    assert kernel.open_plain_service(endpoint)


@pytest.mark.parametrize(
    "url",
    ["dynamodb+ftp://10.0.0.1:1", "http://10.0.0.1:1", "other+http://10.0.0.1"],
)
def test_error_names_setting_without_plugin(
    kernel: kernel_lib.Kernel, url: str
) -> None:
    kernel.register_all()
    with pytest.raises(errors.KernelError, match="--table_url"):
        kernel.open_table(url)


def test_external_package_registers_by_entry_point(
    kernel: kernel_lib.Kernel, external_package: str
) -> None:
    names = {
        point.module
        for point in importlib.metadata.entry_points(
            group=kernel_lib.ENTRY_POINT_GROUP
        )
    }
    assert external_package in names
    kernel.register_all()
    opened = kernel.open_table("memory://")
    assert isinstance(opened, memory_table.MemoryTable)


def test_external_module_registers_by_name(
    kernel: kernel_lib.Kernel,
    external_package: str,
    tmp_path: pathlib.Path,
) -> None:
    metadata = tmp_path / "outside_table-1.0.dist-info" / "entry_points.txt"
    metadata.unlink()
    kernel.register_all([external_package])
    opened = kernel.open_table("memory://")
    assert isinstance(opened, memory_table.MemoryTable)


def test_error_names_missing_module(kernel: kernel_lib.Kernel) -> None:
    with pytest.raises(errors.KernelError, match="nowhere_to_be_found"):
        kernel.register_all(["nowhere_to_be_found"])
