"""Output of a process that nobody reads, or that cannot be written."""

import logging
import os
import signal
import subprocess
import sys
import time
import unittest
import urllib.error
import urllib.request
import warnings

from sapphireyard.logs import MAX_PENDING_BYTES, JsonFormatter, NonBlockingHandler
from tests.platform_site import ROOT, SERVE
from tests.test_signals import TIMEOUT_SECONDS, SingleHostTestCase

LINE = "x" * 100


class NonBlockingHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.handler = NonBlockingHandler(writer)
        self.handler.setFormatter(JsonFormatter(host="a"))
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def read_all(self):
        data = b""
        try:
            while chunk := os.read(self.reader, MAX_PENDING_BYTES):
                data += chunk
        except BlockingIOError:
            return data

    def test_lines_go_on_after_a_reader_was_away(self):
        for _ in range(2000):
            self.logger.warning(LINE)
        self.assertGreater(self.handler.dropped, 0)
        self.read_all()
        self.logger.warning("after the pause " + 2 * LINE)
        data = self.read_all()
        self.logger.warning("later " + 2 * LINE)
        data += self.read_all()
        self.assertIn(b"dropped_lines", data)
        self.assertIn(b"later", data)
        self.assertEqual(self.handler.dropped, 0)

    def test_line_that_cannot_be_written_raises_nothing(self):
        circular = {}
        circular["self"] = circular
        cases = [
            ("lone surrogate", ("id %s", "\udcff"), {}, b"\\\\udcff"),
            ("arguments", ("%d", "x"), {}, b""),
            ("circular value", ("x",), {"extra": {"value": circular}}, b""),
        ]
        for name, args, options, written in cases:
            with self.subTest(name):
                self.logger.warning(*args, **options)
                self.assertIn(written.replace(b"\\\\", b"\\"), self.read_all())

    def test_end_of_the_reader_raises_nothing(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        handler = NonBlockingHandler(writer)
        handler.setFormatter(JsonFormatter(host="a"))
        self.logger.addHandler(handler)
        for _ in range(3):
            self.logger.warning(LINE)
        self.assertGreater(handler.dropped, 0)


class UnreadOutputTest(SingleHostTestCase):
    """Runs an entry host whose standard output or error is of no use."""

    def run_without_output(self, *, closed=(), **outputs):
        """Start a host, wait until it answers, and return its status after a stop."""
        self.path.write_text(self.write_settings("entry", 2))

        def close():
            for descriptor in closed:
                os.close(descriptor)

        with warnings.catch_warnings():
            warnings.simplefilter("ignore")
            process = subprocess.Popen(
                [sys.executable, str(SERVE), "entry"],
                cwd=ROOT,
                env={**os.environ, "SAPPHIREYARD_NODE_FILE": str(self.path)},
                preexec_fn=close,
                **outputs,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.wait_answer(process)
        process.send_signal(signal.SIGTERM)
        return process.wait(TIMEOUT_SECONDS)

    def wait_answer(self, process):
        """Wait until the readiness check, which cannot succeed, is answered."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while True:
            try:
                url = f"http://127.0.1.1:{self.port + 2}/v1/ready"
                urllib.request.urlopen(url, timeout=1.0)
            except urllib.error.HTTPError as error:
                self.assertEqual(error.code, 503)
                error.close()
                return
            except OSError:
                self.assertIsNone(process.poll())
                self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)

    def test_closed_descriptors_do_not_end_a_process(self):
        for closed in ((1,), (2,), (0, 1, 2)):
            with self.subTest(closed=closed):
                self.assertEqual(self.run_without_output(closed=closed), 0)

    def test_pipe_that_is_full_or_without_a_reader_does_not_stop_a_process(self):
        for full in (True, False):
            with self.subTest(full=full):
                reader, writer = os.pipe()
                if full:
                    os.set_blocking(writer, False)
                    while True:
                        try:
                            os.write(writer, b"x" * 4096)
                        except BlockingIOError:
                            break
                    os.set_blocking(writer, True)
                else:
                    os.close(reader)
                status = self.run_without_output(stdout=writer, stderr=writer)
                os.close(writer)
                if full:
                    os.close(reader)
                self.assertEqual(status, 0)
