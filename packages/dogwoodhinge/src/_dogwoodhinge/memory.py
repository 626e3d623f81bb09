"""Reduces the resident size of the process."""

import ctypes
import gc

from absl import logging


def release_free_memory() -> None:
    """Returns free heap pages to the operating system after startup.

    Importing and compiling leave free pages that the allocator would keep.
    Only the GNU C library has a call to return them (malloc_trim); with other
    C libraries this does nothing but collect garbage.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is None:
        logging.info(
            "the C library has no malloc_trim; free memory is not returned"
        )
        return
    trim(0)
