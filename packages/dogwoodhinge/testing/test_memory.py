"""Tests of `_dogwoodhinge.memory`."""

import ctypes
from unittest import mock

import pytest

from _dogwoodhinge import memory


@pytest.mark.parametrize("library", [ctypes.CDLL(None), object()])
def test_release_works_with_and_without_malloc_trim(library: object) -> None:
    with mock.patch.object(ctypes, "CDLL", return_value=library):
        memory.release_free_memory()
