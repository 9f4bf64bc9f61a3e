"""Runs all tests and prints the counts.

Tests named in ``KNOWN-RED.txt`` may fail; they are printed and not counted as
failures. The last line is ``N passed, N failed``.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red():
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = "test: "
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def get_test_id(test):
    """Return the id of a test method; for a sub-test, of the method it belongs to."""
    return getattr(test, "test_case", test).id()


def main():
    """Run the tests; return the exit status."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    failing = {get_test_id(test) for test, _ in result.failures + result.errors}
    failing |= {get_test_id(test) for test in result.unexpectedSuccesses}
    known = read_known_red()
    for name in sorted(failing & known):
        print(f"known red: {name}")
    failed = len(failing - known)
    skipped = len(result.skipped)
    passed = result.testsRun - len(failing) - skipped
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
