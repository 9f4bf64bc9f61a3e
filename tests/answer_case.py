"""A test case for one entry host whose upstream is a real, scripted server."""

import sys
from collections import Counter

from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.exchange import Exchange
from sapphireyard.exchange.turns import TurnService
from standins.scripted_upstream import ScriptedUpstream, build_head
from tests.exchange_case import EVENTS, ExchangeTestCase, RecordingReply
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter.upstreams import PlatformSender  # noqa: E402

HEAD = build_head("r1")
LENGTH_HEAD = build_head("r1", "Content-Length: %d" % len(b"".join(EVENTS)))
CHUNKED_HEAD = build_head("r1", "Transfer-Encoding: chunked")
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data):
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class AnswerTestCase(ExchangeTestCase):
    """Requests go through the exchange and over HTTP to `self.upstream`."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.counts = Counter()
        self.runtime.metrics.count = self.count
        self.upstream = ScriptedUpstream()
        address = await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.set_upstreams(address)
        self.sender = PlatformSender()
        await self.sender.on_start()
        self.addAsyncCleanup(self.sender.on_stop)
        turns = TurnService(self.runtime, self.sender)
        self.exchange = turns.exchange = Exchange(
            self.runtime, self.sender, turns, self.tokens
        )

    def set_upstreams(self, address, changes=()):
        """List one upstream of each service at an address; none if `changes` is None.

        Parameters
        ----------
        address : str
            IP:PORT.
        changes : dict or None, optional
            Fields that differ from those of an upstream in use.
        """
        upstreams = []
        if changes is not None:
            upstreams = [
                Upstream(f"{service}-1", service, address, slots=8, **dict(changes))
                for service in ("plain", "engine")
            ]
        self.runtime.pools.set_upstreams(upstreams)

    def count(self, name, amount=1, **attributes):
        self.counts[name, *attributes.values()] += amount

    async def answer(self, *steps, path="/chat/1", **fields):
        """Serve a request that gets these steps as answer; return its log line."""
        self.runtime.configuration.confirm(self.runtime.clock.monotonic())
        self.upstream.steps = steps
        self.reply = RecordingReply()
        self.runtime.history.log = self.reply.log
        self.runtime.history.turns.clear()
        with self.assertLogs("sapphireyard.exchange.exchange") as logs:
            await self.serve(path, **fields)
        (line,) = (r for r in logs.records if r.msg == "request ended")
        return line

    @property
    def complete(self):
        """bool: Whether the answer looked complete to its caller."""
        return self.reply.log[-1][0] in ("finish", "complete")
