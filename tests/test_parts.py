"""Parts of prompts that engines keep, and placement by them."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.scheduling.capacity import UpstreamLimits
from sapphireyard.scheduling.parts import (
    MAX_REPORTED_PARTS,
    REPORT_SECONDS,
    KeptParts,
)
from sapphireyard.scheduling.placement import Placement
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import (
    REASON_KEPT,
    REASON_LEAST_LOADED,
    REASON_MOVED,
    SchedulerOptions,
    SlotRequest,
)

KV_TOKENS = 10_000
SLOTS = 8
SHARED = ("shared", 500)
CHAIN = (SHARED, ("turn-1", 600), ("turn-2", 300))


def build_parts(*names, kv_tokens=KV_TOKENS):
    parts = KeptParts()
    for name in names or ("a", "b"):
        parts.add(name, kv_tokens)
    return parts


def pass_on(source, target, now):
    target.merge(source.report(now))


class KeptPartsTest(unittest.TestCase):
    def test_kept_tokens_of_a_prompt(self):
        """Cases are the prompts read before, a prompt, and its tokens that are kept."""
        cases = [
            ("nothing read", [], CHAIN, 0),
            ("the same prompt", [CHAIN], CHAIN, 1400),
            ("a shared start", [CHAIN[:1]], CHAIN, 500),
            ("a longer prompt", [CHAIN], CHAIN[:2], 1100),
            (
                "a part that has grown",
                [(SHARED, ("own", 200))],
                (SHARED, ("own", 900)),
                700,
            ),
            (
                "a part that was longer",
                [(SHARED, ("own", 900))],
                (SHARED, ("own", 200)),
                700,
            ),
            ("another start", [(("other", 500),)], CHAIN, 0),
            ("no parts", [CHAIN], (), 0),
            ("a part without tokens", [(("empty", 0),)], (("empty", 0),), 0),
        ]
        for name, read, prompt, expected in cases:
            with self.subTest(name):
                parts = build_parts()
                for before in read:
                    parts.note_sent("a", before, 0.0)
                self.assertEqual(parts.find(prompt).get("a", 0), expected)
                self.assertEqual(parts.find(prompt).get("b", 0), 0)

    def test_least_recently_used_parts_yield(self):
        parts = build_parts("a", kv_tokens=1500)
        parts.note_sent("a", (SHARED, ("x", 900)), 0.0)
        parts.note_sent("a", (SHARED, ("y", 900)), 1.0)
        self.assertEqual(parts.find((SHARED, ("x", 900))), {"a": 500})
        self.assertEqual(parts.find((SHARED, ("y", 900))), {"a": 1400})

    def test_nothing_is_kept_over_a_restart(self):
        parts = build_parts("a")
        parts.note_sent("a", CHAIN, 0.0)
        parts.remove("a")
        parts.add("a", KV_TOKENS)
        self.assertEqual(parts.find(CHAIN), {})

    def test_plain_services_keep_nothing(self):
        parts = KeptParts()
        parts.add("plain", 0)
        parts.note_sent("plain", CHAIN, 0.0)
        parts.merge({"plain": [1, 500]})
        self.assertEqual(parts.find(CHAIN), {})

    def test_other_hosts_learn_new_parts_from_reports(self):
        here, there = build_parts(), build_parts()
        here.note_sent("a", CHAIN[:2], 0.0)
        pass_on(here, there, 0.1)
        pass_on(here, there, 0.2)
        here.note_sent("a", CHAIN, 2.0)
        report = here.report(2.1)
        self.assertEqual(report.keys(), {"a"})
        self.assertEqual(report["a"][1::2], [300])
        there.merge(report)
        self.assertEqual(there.find(CHAIN), {"a": 1400})
        self.assertEqual(here.report(2.1 + REPORT_SECONDS), {})

    def test_reports_are_bounded(self):
        parts = build_parts("a", kv_tokens=10**9)
        for number in range(2 * MAX_REPORTED_PARTS):
            parts.note_sent("a", ((f"part-{number}", 100),), 0.0)
        self.assertEqual(len(parts.report(0.1)["a"]), 2 * MAX_REPORTED_PARTS)

    def test_reports_of_unknown_engines_and_odd_numbers_are_ignored(self):
        parts = build_parts("a")
        parts.merge({"gone": [1, 500], "a": [1, -500, 2, 0, 3]})
        self.assertEqual(parts._totals["a"], 0)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["sent", "merge", "remove"]),
                st.sampled_from("ab"),
                st.lists(
                    st.tuples(st.sampled_from("uvwxyz"), st.integers(0, 900)),
                    max_size=4,
                    unique_by=lambda part: part[0],
                ).map(tuple),
            ),
            max_size=40,
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_totals_holders_and_bounds_agree(self, steps):
        parts = build_parts("a", "b", kv_tokens=1500)
        other = build_parts("a", "b", kv_tokens=1500)
        for now, (kind, name, prompt) in enumerate(steps):
            if kind == "sent":
                parts.note_sent(name, prompt, now)
            elif kind == "merge":
                other.note_sent(name, prompt, now)
                parts.merge(other.report(now))
            else:
                parts.remove(name)
                parts.add(name, 1500)
            for engine, kept in parts._kept.items():
                self.assertEqual(sum(kept.values()), parts._totals[engine])
                self.assertLessEqual(parts._totals[engine], 1500)
            held = {(n, d) for d, names in parts._holders.items() for n in names}
            kept = {(n, d) for n, digests in parts._kept.items() for d in digests}
            self.assertEqual(held, kept)
            self.assertEqual(held, set(parts._order))
            total = sum(tokens for _, tokens in prompt)
            for tokens in parts.find(prompt).values():
                self.assertLessEqual(tokens, total)


class PlacementByPartsTest(unittest.TestCase):
    def setUp(self):
        self.parts = KeptParts()
        self.scheduler = Scheduler(
            [self.limits(name) for name in ("a", "b", "c")],
            options=SchedulerOptions(fair=False, urgency=True, hold_new=False),
            parts=self.parts,
        )
        self.number = 0

    @staticmethod
    def limits(name):
        return UpstreamLimits(name, SLOTS, kv_tokens=50_000)

    def submit(self, parts, now=0.0, **fields):
        """Submit a first request of a program; return its grant."""
        self.number += 1
        request = SlotRequest(
            f"c/p{self.number}",
            f"c/p{self.number}",
            "c",
            "engine",
            new_tokens=sum(tokens for _, tokens in parts),
            prompt_parts=tuple(parts),
            request_id=f"{self.number}",
            **fields,
        )
        grant, *_ = self.scheduler.submit(request, now)
        return grant

    def end(self, grant, now=0.0):
        self.scheduler.finish(grant.request.request_id, 10, None, now)

    def test_program_continues_where_its_prompt_is_kept(self):
        """No host knows the earlier turn but by the parts of the prompt."""
        self.end(self.submit((("other", 2_000),)))
        self.parts.note_sent("c", CHAIN, 0.0)
        grant = self.submit((*CHAIN, ("turn-3", 300)))
        self.assertEqual((grant.upstream, grant.reason), ("c", REASON_KEPT))
        self.assertEqual(grant.cached_tokens, 1400)
        self.assertEqual(grant.kept_tokens, 1400)

    def test_sub_agents_follow_their_parent(self):
        parent = (*CHAIN, ("parent", 3_000))
        first = self.submit(parent)
        agents = [self.submit((*parent, (f"agent-{n}", 300))) for n in range(3)]
        self.assertEqual({grant.upstream for grant in agents}, {first.upstream})

    def test_shared_start_is_kept_on_as_many_engines_as_its_requests_need(self):
        grants = [self.submit((SHARED, (f"own-{n}", 600))) for n in range(12)]
        counts = [sum(g.upstream == name for g in grants) for name in ("a", "b", "c")]
        self.assertEqual(sum(counts), 12)
        self.assertLessEqual(max(counts) - min(counts), 2)

    def test_start_of_few_requests_is_read_once(self):
        for number in range(20):
            self.end(self.submit((SHARED, (f"own-{number}", 600))))
        self.assertEqual([*self.parts.find((SHARED,))], ["a"])

    def test_program_that_leaves_its_engine_goes_where_its_start_is_kept(self):
        self.scheduler.learn_prefix("a", "c/p1", 1_100, 0.0)
        self.scheduler.set_grants("a", 0, 0.0)
        self.parts.note_sent("c", (SHARED,), 0.0)
        grant = self.submit(CHAIN)
        self.assertEqual((grant.upstream, grant.reason), ("c", REASON_MOVED))
        self.assertEqual(grant.cached_tokens, 500)

    def test_program_leaves_an_engine_that_is_much_slower_than_others(self):
        """Cases are the pace of the engine that keeps the prompt, whether it is left.

        The others have the pace 1. Reading 1,400 tokens again takes 0.18 s, and the
        answer of 75 tokens 1.5 s at the pace 1.
        """
        cases = [(1.0, False), (1.4, False), (2.5, True)]
        for pace, leaves in cases:
            with self.subTest(pace=pace):
                self.setUp()
                for name in ("a", "b", "c"):
                    for _ in range(60):
                        ratio = pace if name == "a" else 1.0
                        self.scheduler._paces.note(name, ratio, 1.0)
                self.scheduler.learn_prefix("a", "c/p1", 1_400, 0.0)
                grant = self.submit(CHAIN, prefix_tokens=1_100, output_tokens=75)
                self.assertEqual(grant.upstream != "a", leaves)

    def test_full_engine_does_not_get_a_request_that_it_keeps(self):
        self.parts.note_sent("b", CHAIN, 0.0)
        self.scheduler.report_load("b", SLOTS, 0, 0, 0, 0.0)
        grant = self.submit(CHAIN)
        self.assertNotEqual(grant.upstream, "b")
        self.assertEqual(grant.reason, REASON_LEAST_LOADED)
        self.assertEqual((grant.cached_tokens, grant.kept_tokens), (0, 1400))

    def test_excluded_engine_does_not_get_a_request_that_it_keeps(self):
        self.parts.note_sent("b", CHAIN, 0.0)
        grant = self.submit(CHAIN, excluded=("b",))
        self.assertNotEqual(grant.upstream, "b")

    def test_restarted_engine_keeps_nothing(self):
        self.parts.note_sent("b", CHAIN, 0.0)
        self.scheduler.remove_upstream("b", 0.0)
        self.scheduler.add_upstream(self.limits("b"))
        self.assertEqual(self.submit(CHAIN).cached_tokens, 0)

    def test_requests_without_parts_go_to_the_least_loaded_engine(self):
        self.parts.note_sent("b", CHAIN, 0.0)
        self.assertEqual(self.submit(()).reason, REASON_LEAST_LOADED)

    def test_slow_engine_gets_a_request_only_if_what_it_keeps_outweighs_its_pace(self):
        """Cases are paces of a, which keeps the prompt, and b, and the one chosen."""
        cases = [
            (1.0, 1.0, "a"),
            (1.4, 1.0, "a"),
            (1.5, 1.0, "b"),
            (0.7, 1.0, "a"),
        ]
        limits = {name: self.limits(name) for name in ("a", "b")}
        request = SlotRequest(
            "p",
            "p",
            "c",
            "engine",
            new_tokens=1400,
            output_tokens=75,
            prompt_parts=CHAIN,
        )
        for pace_a, pace_b, expected in cases:
            with self.subTest(pace_a=pace_a, pace_b=pace_b):
                placement = Placement()
                for each in limits.values():
                    placement.add(each)
                placement.note_sent("a", request, 0.0)
                candidates = {limits["b"]: (0, pace_b), limits["a"]: (0, pace_a)}
                chosen = placement.choose_keeper(request, candidates)
                self.assertEqual(chosen, expected)


if __name__ == "__main__":
    unittest.main()
