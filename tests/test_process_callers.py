"""Invalid and hostile requests of callers, with real processes."""

import asyncio
import uuid

from scripts.client import CallFailed
from tests.process_site import ProcessTestCase, wait_until

JSON = "application/json"
CHAT = "/v1/chat/completions"
TURN = {"model": "guide", "messages": [{"role": "user", "content": "x"}]}
ADDRESS = "/v1/address"
HUGE_HEADER = {"X-Pad": "x" * 40_000}
BAD_REQUESTS = [
    ("not JSON", "POST", CHAT, b"{", {}, 400, "invalid_request"),
    ("not an object", "POST", CHAT, b"[1]", {}, 400, "invalid_request"),
    ("not UTF-8", "POST", CHAT, b"\xff\xfe{}", {}, 400, "invalid_request"),
    ("deep", "POST", CHAT, b"[" * 100_000, {}, 400, "invalid_request"),
    ("no model", "POST", CHAT, {"messages": []}, {}, 400, "invalid_request"),
    ("model of a number", "POST", CHAT, {**TURN, "model": 1}, {}, 400, None),
    ("text as messages", "POST", CHAT, {**TURN, "messages": "x"}, {}, 400, None),
    ("no messages", "POST", CHAT, {**TURN, "messages": []}, {}, 400, None),
    ("negative tokens", "POST", CHAT, {**TURN, "max_tokens": -1}, {}, 400, None),
    ("unknown model", "POST", CHAT, {**TURN, "model": "q"}, {}, 404, "route_unknown"),
    ("unknown route", "POST", "/v1/call/none", {}, {}, 404, "route_unknown"),
    ("model as a service", "POST", "/v1/call/guide", {}, {}, 404, "route_unknown"),
    ("unknown path", "GET", "/v2/none", None, {}, 404, "route_unknown"),
    ("wrong method", "PUT", CHAT, TURN, {}, 405, None),
    ("bad sequence", "POST", CHAT, TURN, {"Sapphireyard-Sequence": "x"}, 400, None),
    ("sequence alone", "POST", CHAT, TURN, {"Sapphireyard-Sequence": "2"}, 400, None),
    ("bad program", "POST", CHAT, TURN, {"Sapphireyard-Program": "a/b"}, 400, None),
    ("bad budget", "POST", CHAT, TURN, {"Sapphireyard-Budget": "much"}, 400, None),
    ("bad deadline", "POST", CHAT, TURN, {"Sapphireyard-Deadline": "-1"}, 400, None),
    ("no key", "POST", CHAT, TURN, {"Authorization": ""}, 401, "key_unknown"),
    ("bad key", "POST", CHAT, TURN, {"Authorization": "Bearer q"}, 401, "key_unknown"),
    ("unknown program", "GET", "/v1/programs/none", None, {}, 404, "program_unknown"),
    ("huge body", "POST", CHAT, b" " * 5_000_000, {}, 413, "request_too_large"),
    ("huge header", "GET", ADDRESS, None, HUGE_HEADER, 431, "headers_too_large"),
]


class CallersTest(ProcessTestCase):
    site_options = {"entries": 2, "engines": 2, "services": 1}

    async def send(self, method, path, body, headers, *, entry="entry-0"):
        """Send one request; return its status, content type and JSON body."""
        key = self.site.keys["nyumbani"]
        sent = {"Authorization": f"Bearer {key}", "Content-Type": JSON, **headers}
        options = {"data": body} if isinstance(body, bytes) else {"json": body}
        url = f"http://{self.site.address(entry)}{path}"
        async with self.site.session.request(
            method, url, headers=sent, **options
        ) as response:
            problem = {}
            if response.content_type.endswith("json"):
                problem = await response.json(content_type=None)
            return response.status, response.content_type, problem

    async def test_bad_input_gets_a_problem_and_harms_nobody(self):
        good = self.site.build_client("good")
        await self.chat(good, "first")
        incomplete = [await self.open_incomplete_request() for _ in range(20)]
        for name, method, path, body, headers, status, code in BAD_REQUESTS:
            with self.subTest(name):
                received, content_type, problem = await self.send(
                    method, path, body, headers
                )
                self.assertEqual(received, status, problem)
                self.assertEqual(content_type, "application/problem+json")
                self.assertEqual(problem["executed"], "no")
                if code:
                    self.assertEqual(problem["code"], code)
        operator = {"Authorization": f"Bearer {self.site.operator_key}"}
        status, _, problem = await self.send("POST", CHAT, TURN, operator)
        self.assertEqual((status, problem["code"]), (403, "not_allowed"))
        calls = await self.site.count_model_calls()
        self.assertEqual(calls, 1)
        await self.chat(good, "second")
        for reader, writer in incomplete:
            writer.close()
        await self.check_history(good)

    async def open_incomplete_request(self):
        """Open a connection and send an incomplete request on it."""
        ip, port = self.site.address("entry-0").split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Content-Length: 100\r\n\r\n{")
        await writer.drain()
        writer.write_eof()
        return reader, writer

    async def test_repeats_join_and_programs_are_their_customers(self):
        await self.cluster.set_faults("booking-0", delay_seconds=1.0)
        program = await self.site.choose_program("entry-0")
        clients = [
            self.site.build_client(program, entries=[name])
            for name in self.site.entries
        ]
        answers = await asyncio.gather(*(self.book(c, "joined") for c in clients))
        self.assertEqual(answers[0], answers[1])
        self.assertIn("confirmation", answers[0])
        await self.cluster.set_faults("booking-0", delay_seconds=0.0)
        headers = {
            "Sapphireyard-Program": program,
            "Sapphireyard-Sequence": "1",
            "Idempotency-Key": uuid.uuid4().hex,
        }
        body = {"van": "joined"}
        status, _, answer = await self.send("POST", "/v1/call/booking", body, headers)
        self.assertEqual((status, answer), (200, answers[0]))
        body = {"van": "another"}
        status, _, problem = await self.send("POST", "/v1/call/booking", body, headers)
        self.assertEqual((status, problem["code"]), (409, "sequence_conflict"))
        await self.check_booked_at_most_once()
        other = self.site.build_client(program, customer="kitamichi")
        await self.chat(other, "whose program is this")
        await self.check_history(other)
        view = await clients[0].inspect("/history")
        self.assertEqual([call["route"] for call in view["calls"]], ["booking"])

    async def test_budgets_hold_for_sub_agents_and_endless_loops(self):
        root = self.site.build_client("root", budget="calls=6,tokens=100000")
        await self.chat(root, "first")
        children = [
            self.site.build_client(f"child-{number}", parent="root")
            for number in range(10)
        ]
        outcomes = await asyncio.gather(
            *(self.chat(child, "go") for child in children), return_exceptions=True
        )
        failed = [each for each in outcomes if isinstance(each, CallFailed)]
        self.assertEqual({each.code for each in failed}, {"budget_exceeded"})
        self.assertEqual(len(outcomes) - len(failed), 5)
        self.assertEqual(await self.site.count_model_calls(), 6)
        loop = self.site.build_client("loop", budget="tokens=400")
        with self.assertRaises(CallFailed) as raised:
            while True:
                await loop.chat("guide", "again", max_tokens=16)
        self.assertEqual(raised.exception.code, "budget_exceeded")
        self.assertEqual(raised.exception.problem["executed"], "no")
        view = await loop.inspect()
        self.assertLessEqual(view["used"]["tokens"], 400)


class CrashingRequestTest(ProcessTestCase):
    site_options = {"entries": 3, "engines": 5, "services": 1}

    async def test_request_that_crashes_engines_is_quarantined(self):
        for name in self.site.engines:
            await self.cluster.set_faults(name, crash_marker="poison")
        codes = []
        for number in range(9):
            entry = self.site.entries[number % 3]
            body = {**TURN, "messages": [{"role": "user", "content": "poison"}]}
            headers = {"Sapphireyard-Program": f"crash-{number}"}
            status, problem = await self.site.request(
                "POST", CHAT, entry=entry, body=body, headers=headers
            )
            codes.append(problem.get("code", status))
        dead = [name for name in self.site.engines if not self.cluster[name].alive]
        self.assertLessEqual(len(dead), 2, codes)
        self.assertEqual(codes[-1], "quarantined")

        async def are_served():
            await self.chat(self.site.build_client(uuid.uuid4().hex), "healthy")
            return True

        await wait_until(are_served, "other programs are served")
