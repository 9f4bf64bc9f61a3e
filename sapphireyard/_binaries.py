"""Start and stop of a process, shared by all binaries."""

import asyncio
import os
import signal
import sys

from sapphireyard._options import load_settings
from sapphireyard.logs import configure_logging
from sapphireyard.metrics import configure_metrics

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_binary(run, model, *, name):
    """Load the settings, run the process until it ends and exit with its status.

    Parameters
    ----------
    run : callable
        Coroutine function from settings to exit status.
    model : type
        Generated model of the settings.
    name : str
        Name of the binary.
    """
    settings = load_settings(model, argv=sys.argv[1:], environ=os.environ, name=name)
    configure_logging(settings, host=settings.host)
    configure_metrics()
    sys.exit(asyncio.run(run(settings)))


async def run_service(service, runtime, *, find_address, drain=None):
    """Run a service until it is signalled to stop or crashes.

    Parameters
    ----------
    service : mode.Service
        The root service of the process.
    runtime : Runtime
        Runtime of the process it belongs to.
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
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    await service.start()
    print(f"listening on {find_address()}", flush=True)
    crashed = asyncio.ensure_future(service.wait_until_stopped())
    signalled = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait([crashed, signalled], return_when=asyncio.FIRST_COMPLETED)
    if signalled.done() and drain is not None:
        await drain()
    status = 1 if service.crash_reason else 0
    await service.stop()
    await runtime.store.close()
    return status
