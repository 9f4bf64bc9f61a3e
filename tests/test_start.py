"""Starts of a process that lacks something at first."""

import os
import signal
import socket
import subprocess
import sys

from tests.platform_site import ROOT, SERVE
from tests.test_signals import TIMEOUT_SECONDS, SingleHostTestCase

HOST_IP = "127.0.1.1"


class StartTest(SingleHostTestCase):
    def run_host(self, role="entry"):
        with open(self.folder / "log", "wb") as output:
            process = subprocess.Popen(
                [sys.executable, str(SERVE), role],
                cwd=ROOT,
                env={**os.environ, "SAPPHIREYARD_NODE_FILE": str(self.path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def check_starts(self, process):
        self.wait_logged('"started"')
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)

    def test_settings_that_are_written_late_do_not_end_a_process(self):
        """Cases are the bytes of the file at first; None if there is none."""
        whole = self.write_settings("entry", 2).encode()
        cases = [
            ("absent", None),
            ("empty", b""),
            ("half", whole[: len(whole) // 2]),
            ("no text", b"\xff\xfe\n"),
            ("value and section", b"listen=1\nlisten.front=127.0.1.1:1\n"),
        ]
        for name, data in cases:
            with self.subTest(name):
                self.path.unlink(missing_ok=True)
                if data is not None:
                    self.path.write_bytes(data)
                process = self.run_host()
                self.wait_logged("settings cannot be used yet")
                self.path.write_bytes(whole)
                self.check_starts(process)

    def test_address_that_is_still_in_use_does_not_end_a_process(self):
        self.path.write_text(self.write_settings("entry", 2))
        cases = [
            ("callers", socket.SOCK_STREAM, 1),
            ("hosts", socket.SOCK_STREAM, 0),
            ("heartbeats", socket.SOCK_DGRAM, 0),
        ]
        for name, kind, offset in cases:
            with self.subTest(name):
                with socket.socket(socket.AF_INET, kind) as taken:
                    taken.bind((HOST_IP, self.port + offset))
                    if kind == socket.SOCK_STREAM:
                        taken.listen()
                    process = self.run_host()
                    self.wait_logged("address cannot be used yet")
                    self.assertIsNone(process.poll())
                self.check_starts(process)

    def test_data_folder_that_cannot_be_written_does_not_end_a_process(self):
        self.path.write_text(self.write_settings("history", 2))
        data = self.folder / "data"
        data.write_text("a file in the place of the folder")
        process = self.run_host("history")
        self.wait_logged("data folder cannot be used yet")
        self.assertIsNone(process.poll())
        data.unlink()
        self.check_starts(process)

    def test_stop_of_a_host_that_cannot_start_is_orderly(self):
        self.path.write_text(self.write_settings("history", 2))
        (self.folder / "data").write_text("a file in the place of the folder")
        process = self.run_host("history")
        self.wait_logged("data folder cannot be used yet")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)
