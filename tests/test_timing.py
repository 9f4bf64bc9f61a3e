"""Tests of the timing model of a model engine."""

import unittest

from standins.timing import EngineTiming, Evicted, Finished, Tokens


def run_until_idle(engine):
    """Return all events until the engine is idle."""
    events = []
    while (time := engine.next_event_time()) is not None:
        events += engine.advance(time)
    return events


def find_finished(events):
    """Return the `Finished` events by request id."""
    return {e.request_id: e for e in events if isinstance(e, Finished)}


class TimingTest(unittest.TestCase):
    def make(self, **options):
        options = {"prefill_rate": 1000.0, "decode_seconds": 0.1, **options}
        return EngineTiming(decode_slope=0.0, **options)

    def test_times_of_one_request(self):
        for token_events in (False, True):
            with self.subTest(token_events=token_events):
                engine = self.make(token_events=token_events)
                engine.submit("a", "p", 0, 500, 11, 1.0)
                events = run_until_idle(engine)
                self.assertEqual(events[0], Tokens(1.5, "a", 1, first=True))
                self.assertAlmostEqual(find_finished(events)["a"].time, 2.5)

    def test_second_turn_uses_the_cached_prefix(self):
        engine = self.make()
        engine.submit("a", "p", 0, 160, 16, 0.0)
        run_until_idle(engine)
        self.assertEqual(engine.cached_tokens("p"), 176)
        engine.submit("b", "p", 176, 24, 1, 10.0)
        finished = find_finished(run_until_idle(engine))["b"]
        self.assertEqual((finished.cached_tokens, finished.prefilled_tokens), (176, 24))
        self.assertEqual(engine.release("p"), 192)

    def test_batch_limit_is_first_come_first_served(self):
        engine = self.make(batch_size=1)
        for name in "abc":
            engine.submit(name, name, 0, 100, 2, 0.0)
        self.assertEqual(list(find_finished(run_until_idle(engine))), ["a", "b", "c"])

    def test_memory_evicts_the_least_recently_used_prefix(self):
        engine = self.make(kv_tokens=480)
        for name in "abc":
            engine.submit(name, name, 0, 150, 10, 0.0)
        run_until_idle(engine)
        engine.submit("a2", "a", 160, 16, 16, 60.0)
        events = run_until_idle(engine)
        evicted = [event for event in events if isinstance(event, Evicted)]
        self.assertEqual(
            [(event.program, event.tokens) for event in evicted], [("b", 128)]
        )

    def test_cancel_frees_the_slot_and_memory(self):
        engine = self.make(batch_size=1, kv_tokens=400)
        engine.submit("a", "a", 0, 150, 100, 0.0)
        engine.submit("b", "b", 0, 150, 10, 0.0)
        engine.advance(1.0)
        self.assertTrue(engine.cancel("a", 1.0))
        self.assertFalse(engine.cancel("a", 1.0))
        self.assertEqual(list(find_finished(run_until_idle(engine))), ["b"])
        self.assertEqual(engine.load.reserved_tokens, 0)

    def test_imported_prefix_counts_as_cached(self):
        engine = self.make()
        self.assertEqual(engine.import_prefix("p", 330, 0.0), 320)
        engine.submit("a", "p", 330, 10, 1, 0.0)
        self.assertEqual(find_finished(run_until_idle(engine))["a"].cached_tokens, 320)

    def test_request_larger_than_memory_is_rejected(self):
        with self.assertRaises(ValueError):
            self.make(kv_tokens=100).submit("a", "p", 0, 100, 1, 0.0)
