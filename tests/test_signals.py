"""Signals at moments at which a process does not wait for them."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from sapphireyard.signals import SIGNALS, SignalQueue
from tests.platform_site import DEPLOY, ROOT, SERVE, find_port

TIMEOUT_SECONDS = 20.0
ROLES = ("entry", "history")


class SignalQueueTest(unittest.TestCase):
    def setUp(self):
        for number in SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.handled = []

    def handle(self, number, received_at):
        self.handled.append(number)

    def test_signals_before_the_loop_are_handled_first(self):
        received = [(signal.SIGHUP, 1.0)]
        signals = SignalQueue(received)
        received.append((signal.SIGTERM, 2.0))
        signals.install()
        os.kill(os.getpid(), signal.SIGHUP)

        async def run():
            with signals.attach(asyncio.get_running_loop(), self.handle):
                os.kill(os.getpid(), signal.SIGINT)
                await asyncio.sleep(0.05)

        asyncio.run(run())
        self.assertEqual(
            self.handled, [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
        )

    def test_signal_wakes_a_loop_that_waits(self):
        signals = SignalQueue()
        signals.install()

        async def run():
            handled = asyncio.Event()
            with signals.attach(
                asyncio.get_running_loop(), lambda *signal: handled.set()
            ):
                sender = threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGHUP))
                sender.start()
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await handled.wait()
                sender.join()

        asyncio.run(run())

    def test_signal_after_the_loop_is_kept_and_ends_nothing(self):
        signals = SignalQueue()
        signals.install()

        async def run():
            with signals.attach(asyncio.get_running_loop(), self.handle):
                pass

        asyncio.run(run())
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertTrue(signals.stop_requested)
        signals.ignore()
        self.assertEqual(signal.getsignal(signal.SIGTERM), signal.SIG_IGN)


class SingleHostTestCase(unittest.TestCase):
    """Runs one process without a store.

    It may be stopped while it waits for the first byte of its settings.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "settings.conf"
        self.port = find_port()

    def write_settings(self, role, store_port):
        return "".join(
            f"{line}\n"
            for line in (
                "node=host-1",
                f"role={role}",
                "ip=127.0.1.1",
                "zone=a",
                *(
                    f"listen.{name}=127.0.1.1:{self.port + number}"
                    for number, name in enumerate(("front", "ready", "directory"), 1)
                ),
                f"port-range={self.port},{self.port}",
                "seeds=",
                "bootstrap=true",
                f"data-dir={self.folder / 'data'}",
                "fault-tolerance.machines=1",
                "bounds.grace-s=1",
                "bounds.revoke-ms=5000",
                f"provider.address=127.0.0.1:{store_port}",
            )
        )

    def start(self, role, *, script=SERVE):
        """Start a process; return it and its settings, which it is about to read."""
        self.path.unlink(missing_ok=True)
        os.mkfifo(self.path)
        with open(self.folder / "log", "wb") as output:
            process = subprocess.Popen(
                [sys.executable, str(script), role],
                cwd=ROOT,
                env={**os.environ, "SAPPHIREYARD_NODE_FILE": str(self.path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, open(self.path, "w")

    def finish_settings(self, settings, role, *, changed_port):
        """Let a process read its settings, which change at the same time."""
        changed = self.folder / "changed"
        changed.write_text(self.write_settings(role, changed_port))
        changed.replace(self.path)
        with settings:
            settings.write(self.write_settings(role, 1))

    def wait_logged(self, text):
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while text not in (log := (self.folder / "log").read_text()):
            self.assertLess(time.monotonic(), deadline, log)
            time.sleep(0.05)


class InterpreterStartTest(unittest.TestCase):
    def test_little_is_loaded_before_signals_are_kept(self):
        """SIGHUP in the start of the interpreter ended processes with status -1."""
        first, _, _ = SERVE.read_text().partition("\nimport asyncio")
        code = (
            f"import sys; before = set(sys.modules); exec({first!r});"
            " loaded = set(sys.modules) - before - set(sys.builtin_module_names);"
            " import signal; print(sorted(loaded), 'site' in sys.modules,"
            " signal.getsignal(signal.SIGHUP) is keep_early)"
        )
        for role, options in DEPLOY["roles"].items():
            with self.subTest(role):
                arguments = options["run"].split()
                self.assertEqual(arguments[-2:], ["platform/serve.py", role])
                command = [sys.executable, *arguments[1:-2], "-c", code]
                output = subprocess.check_output(command, text=True)
                self.assertEqual(output, "[] False True\n")


class EarlySignalTest(SingleHostTestCase):
    def test_reload_while_a_process_starts_does_not_end_it(self):
        for role in ROLES:
            with self.subTest(role):
                process, settings = self.start(role)
                process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
                self.finish_settings(settings, role, changed_port=2)
                self.wait_logged('"store": "127.0.0.1:2"')
                self.assertIsNone(process.poll())
                process.kill()
                process.wait()

    def test_stop_while_a_process_starts_is_orderly(self):
        for role in ROLES:
            with self.subTest(role):
                process, settings = self.start(role)
                process.send_signal(signal.SIGTERM)
                time.sleep(0.1)
                self.finish_settings(settings, role, changed_port=2)
                self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)

    def test_settings_that_change_while_a_process_starts_are_read_again(self):
        process, settings = self.start("history")
        self.finish_settings(settings, "history", changed_port=2)
        self.wait_logged('"store": "127.0.0.1:2"')

    def test_signals_until_the_exit_do_not_change_the_status(self):
        for role in ROLES:
            with self.subTest(role):
                process, settings = self.start(role)
                self.finish_settings(settings, role, changed_port=2)
                self.wait_logged('"started"')
                while process.poll() is None:
                    for number in (signal.SIGTERM, signal.SIGHUP):
                        process.send_signal(number)
                    time.sleep(0.001)
                self.assertEqual(process.returncode, 0)

    def test_service_that_does_not_stop_delays_no_exit(self):
        script = ROOT / "tests" / "stuck_history.py"
        process, settings = self.start("history", script=script)
        self.finish_settings(settings, "history", changed_port=2)
        self.wait_logged('"started"')
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)
        self.wait_logged("services did not stop")


class OwnInterfaceTest(unittest.TestCase):
    def start(self, **options):
        process = subprocess.Popen(
            [sys.executable, "-m", "sapphireyard.control", "--host", "control-1"]
            + ["--failure-domain", "a", "--peer-address", "127.0.0.1:0"]
            + ["--store", "http://127.0.0.1:1"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            **options,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_signals_until_the_exit_do_not_change_the_status(self):
        process = self.start(stdout=subprocess.PIPE)
        self.addCleanup(process.stdout.close)
        self.assertIn(b"listening on", process.stdout.readline())
        while process.poll() is None:
            for number in (signal.SIGTERM, signal.SIGHUP):
                process.send_signal(number)
            time.sleep(0.001)
        self.assertEqual(process.returncode, 0)

    def test_output_without_a_reader_does_not_end_a_process(self):
        reader, writer = os.pipe()
        os.close(reader)
        process = self.start(stdout=writer)
        os.close(writer)
        line = b"cannot write to standard output"
        self.assertTrue(any(line in each for each in process.stderr))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)
