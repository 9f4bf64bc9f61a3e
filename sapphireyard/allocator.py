"""Options of the allocator of the C library."""

import ctypes
import logging

logger = logging.getLogger(__name__)

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BYTES = 128 * 1024
"""Size from which a buffer is mapped by itself: the initial value of the GNU C library,
which raises it to the size of the largest buffer that was freed."""


def return_large_buffers():
    """Give large buffers back to the system as soon as they are freed.

    Handles answers of megabytes that grow and go at the same time: otherwise they leave
    holes, and the process keeps several times the memory that is in use.

    Returns
    -------
    bool
        Whether the C library has these options.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        logger.warning("the allocator has no options: %r", error)
        return False
    options = (M_MMAP_THRESHOLD, M_TRIM_THRESHOLD)
    return all(mallopt(option, LARGE_BYTES) for option in options)
