"""Tests of logging, metrics and the operators' HTTP interface."""

import json
import logging
import unittest
from collections import Counter
from types import SimpleNamespace

import aiohttp
from aiohttp import web

from sapphireyard.callers._problems import build_problem_response
from sapphireyard.callers.administration import Administration
from sapphireyard.clocks import Clock
from sapphireyard.configuration.keys import KeyRing, create_key, create_salt, digest_key
from sapphireyard.configuration.tables import Configuration, KeyEntry
from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.logs import DecisionBuffer, JsonFormatter, TextFormatter
from sapphireyard.metrics import INSTRUMENTS, Metrics
from sapphireyard.ownership.assignment import Assignment, Member
from sapphireyard.programs.programs import Programs
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.upstreams.outliers import OutlierDetector
from standins._serving import serving


def make_record(message, *arguments, **extra):
    logger = logging.getLogger("sapphireyard.test")
    return logger.makeRecord(
        logger.name, logging.INFO, "f", 1, message, arguments, None, extra=extra
    )


class LogTest(unittest.TestCase):
    def test_keys_are_redacted(self):
        key = create_key()
        records = [
            make_record("call with %s", key),
            make_record("call", authorization=f"Bearer {key}"),
            make_record("call", headers={"Authorization": "Bearer abc.def"}),
        ]
        for formatter in (JsonFormatter(host="h"), TextFormatter(host="h")):
            for record in records:
                with self.subTest(formatter=formatter, record=record.getMessage()):
                    line = formatter.format(record)
                    self.assertNotIn(key, line)
                    self.assertNotIn("abc.def", line)
                    self.assertIn("[redacted]", line)

    def test_json_contains_extra_fields(self):
        record = make_record("routed", program="east/p", upstream="e1")
        line = json.loads(JsonFormatter(host="h").format(record))
        self.assertEqual((line["program"], line["upstream"]), ("east/p", "e1"))
        self.assertEqual((line["host"], line["message"]), ("h", "routed"))

    def test_decisions_of_a_program(self):
        buffer = DecisionBuffer(capacity=2)
        for number in range(3):
            buffer.handle(make_record("routed", program="a/p", number=number))
        buffer.handle(make_record("no program"))
        self.assertEqual([d["number"] for d in buffer.find("a/p")], [1, 2])
        self.assertEqual(buffer.find("b/p"), [])


class MetricsTest(unittest.TestCase):
    def test_each_instrument_accepts_values(self):
        metrics = Metrics()
        for instrument in INSTRUMENTS:
            with self.subTest(instrument.name):
                record_value = (
                    metrics.count if instrument.kind == "counter" else metrics.record
                )
                record_value(instrument.name, 1, pool="p")


class LocalPeers:
    """Peers as seen from host h1; no other host answers."""

    def __init__(self):
        self.codec = MessageCodec()
        self.handlers = {}

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    async def ask(self, host, message, *, timeout):
        if host != "h1":
            raise PeerUnavailable("silent")
        return await self.handlers[type(message)](message, None)


def build_runtime():
    """Return the parts of the runtime that operators query, and its keys."""
    salt = create_salt()
    keys = {role: create_key() for role in ("operator", "customer")}
    entries = [KeyEntry(digest_key(key, salt), role) for role, key in keys.items()]
    ring = KeyRing({entry.digest: entry for entry in entries}, salt)
    members = {
        name: Member(name, 1, "127.0.0.1:1", "127.0.0.1:2", "a")
        for name in ("h1", "h2")
    }
    assignment = Assignment(3, members)
    location = SimpleNamespace(host="h1", partition=7)
    runtime = SimpleNamespace(
        host="h1",
        incarnation=1,
        clock=Clock(),
        peers=LocalPeers(),
        programs=Programs(),
        outliers=OutlierDetector(),
        settings=SimpleNamespace(failure_domain="a"),
        gateway=SimpleNamespace(draining=False, open_requests=0),
        dispatcher=SimpleNamespace(running_calls=0),
        store=SimpleNamespace(calls=Counter(get=4)),
        ownership=SimpleNamespace(assignment=assignment, locate=lambda _: location),
        configuration=SimpleNamespace(
            version=5,
            age_seconds=0.5,
            current=Configuration(5),
            check_fresh=lambda: None,
            authenticate=ring.authenticate,
        ),
    )
    return runtime, keys


@web.middleware
async def respond_with_problem(request, handler):
    try:
        return await handler(request)
    except CallError as error:
        return build_problem_response(error)


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        runtime, self.keys = build_runtime()
        self.stops = []
        app = web.Application(middlewares=[respond_with_problem])
        administration = Administration(runtime, stop=lambda: self.stops.append(1))
        administration.add_routes(app)
        context = serving(app)
        self.address = await context.__aenter__()
        self.addAsyncCleanup(context.__aexit__, None, None, None)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def request(self, path, *, key="", method="GET", body=None):
        url = f"http://{self.address}{path}"
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with self.session.request(
            method, url, headers=headers, json=body
        ) as answer:
            return answer.status, await answer.text()

    async def test_only_operators_are_authorized(self):
        paths = ["/metrics", "/admin/v1/status", "/admin/v1/explain/a/p"]
        for path in paths:
            for role, expected in (("", 401), ("customer", 403), ("operator", 200)):
                with self.subTest(path=path, role=role):
                    status, _ = await self.request(path, key=self.keys.get(role, ""))
                    self.assertEqual(status, expected)

    async def test_status_and_explain(self):
        key = self.keys["operator"]
        status = json.loads((await self.request("/admin/v1/status", key=key))[1])
        self.assertEqual(status["configuration"]["version"], 5)
        self.assertEqual(len(status["assignment"]["members"]), 2)
        logger = logging.getLogger("sapphireyard.test")
        logger.warning("call routed", extra={"program": "a/p", "upstream": "e1"})
        _, text = await self.request("/admin/v1/explain/a/p", key=key)
        explained = json.loads(text)
        self.assertEqual(explained["decisions"][0]["upstream"], "e1")
        self.assertEqual(explained["owner"], "h1")
        self.assertEqual(explained["silent_hosts"], ["h2"])

    async def test_drain(self):
        key = self.keys["operator"]
        for host, expected, stops in (("none", 400, 0), ("h2", 503, 0), ("h1", 200, 1)):
            with self.subTest(host):
                status, _ = await self.request(
                    "/admin/v1/drain", key=key, method="POST", body={"host": host}
                )
                self.assertEqual((status, len(self.stops)), (expected, stops))
