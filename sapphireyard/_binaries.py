"""Start and stop of a process, shared by all binaries."""

import asyncio
import logging
import os
import sys

from sapphireyard._options import load_settings
from sapphireyard.allocator import return_large_buffers
from sapphireyard.logs import configure_logging, reserve_standard_descriptors
from sapphireyard.metrics import configure_metrics
from sapphireyard.signals import SignalQueue

logger = logging.getLogger(__name__)

STANDARD_OUTPUT = 1
"""File descriptor; `sys.stdout` would keep what it cannot write until the exit, which
then fails."""


def run_binary(run, model, *, name):
    """Load the settings, run the process until it ends and exit with its status.

    Parameters
    ----------
    run : callable
        Coroutine function from settings and `SignalQueue` to exit status.
    model : type
        Generated model of the settings.
    name : str
        Name of the binary.
    """
    signals = SignalQueue()
    signals.install()
    reserve_standard_descriptors()
    settings = load_settings(model, argv=sys.argv[1:], environ=os.environ, name=name)
    configure_logging(settings, host=settings.host)
    configure_metrics()
    return_large_buffers()
    status = asyncio.run(run(settings, signals))
    signals.ignore()
    sys.exit(status)


async def run_service(service, runtime, signals, *, find_address, drain=None):
    """Run a service until it is signalled to stop or crashes.

    There are no settings to reload, so SIGHUP is a stop too.

    Parameters
    ----------
    service : mode.Service
        The root service of the process.
    runtime : Runtime
        Runtime of the process it belongs to.
    signals : SignalQueue
        Signals of the process.
    find_address : callable
        Returns the IP:PORT to print once the service has started.
    drain : callable, optional
        Coroutine function that drains the process before a planned stop.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 1 after a crash.
    """
    stop_requested = asyncio.Event()

    def handle(number, received_at):
        logger.info("stop requested", extra={"signal": number.name})
        stop_requested.set()

    with signals.attach(asyncio.get_running_loop(), handle):
        return await _run_until_stopped(
            service, runtime, stop_requested, find_address, drain
        )


def _announce(address):
    """Write the address to standard output, which need not have a reader."""
    try:
        os.write(STANDARD_OUTPUT, f"listening on {address}\n".encode())
    except OSError as error:
        logger.warning("cannot write to standard output: %s", error)


async def _run_until_stopped(service, runtime, stop_requested, find_address, drain):
    await service.start()
    _announce(find_address())
    crashed = asyncio.ensure_future(service.wait_until_stopped())
    signalled = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait([crashed, signalled], return_when=asyncio.FIRST_COMPLETED)
    if signalled.done() and drain is not None:
        await drain()
    status = 1 if service.crash_reason else 0
    await service.stop()
    await runtime.store.close()
    return status
