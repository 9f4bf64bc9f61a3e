"""An entry host on the platform whose links to upstreams the test can cut.

The file named by ``SAPPHIREYARD_LINKS`` has a line ``PORT RELAY_PORT MODE`` for each
upstream: connections to PORT go to RELAY_PORT while the mode is ``open``, get no answer
while it is ``hang``, and are refused while it is ``refuse``.
"""

import asyncio
import os
import runpy
import sys
from pathlib import Path

LINKS_VARIABLE = "SAPPHIREYARD_LINKS"
SERVE = Path(__file__).resolve().parent.parent / "platform" / "serve.py"


def find_link(port):
    """Return the relay's port and the mode of the link to an upstream, or None."""
    for line in Path(os.environ[LINKS_VARIABLE]).read_text().splitlines():
        upstream_port, relay_port, mode = line.split()
        if int(upstream_port) == port:
            return int(relay_port), mode
    return None


def cut_links(loop_class):
    """Let an event loop connect through the links of the file."""
    connect = loop_class.sock_connect

    async def connect_through(self, sock, address):
        ip, port = address[:2]
        relay_port, mode = find_link(port) or (port, "open")
        if mode == "refuse":
            raise ConnectionRefusedError(f"cut: {address}")
        if mode == "hang":
            await asyncio.Event().wait()
        return await connect(self, sock, (ip, relay_port))

    loop_class.sock_connect = connect_through


if __name__ == "__main__":
    cut_links(asyncio.SelectorEventLoop)
    sys.path.insert(0, str(SERVE.parent))
    runpy.run_path(str(SERVE), run_name="__main__")
