"""An entry host that other hosts reach through a relay."""

import os
import sys

from sapphireyard import entry
from sapphireyard.streams.peers import Peers

ADDRESS_VARIABLE = "SAPPHIREYARD_RELAYED_ADDRESS"

if __name__ == "__main__":
    Peers.address = property(lambda self: os.environ[ADDRESS_VARIABLE])
    sys.exit(entry.main())
