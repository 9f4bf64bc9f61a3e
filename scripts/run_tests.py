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


def name_test(test):
    """Return the id of the test method that `test` or its sub-test belongs to."""
    return getattr(test, "test_case", test).id()


def main():
    """Run the tests; return the exit status."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    broken = {name_test(test) for test, _ in result.failures + result.errors}
    broken |= {name_test(test) for test in result.unexpectedSuccesses}
    known = read_known_red()
    for name in sorted(broken & known):
        print(f"known red: {name}")
    failed = len(broken - known)
    skipped = len(result.skipped)
    passed = result.testsRun - len(broken) - skipped
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
