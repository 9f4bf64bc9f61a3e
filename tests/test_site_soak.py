"""A short soak of the platform's deployment, as real processes on loopback."""

import asyncio
import unittest

from scripts.site_soak import SiteSoakOptions, run

SEED = 7
FAULT_SECONDS = 20.0


class SiteSoakTest(unittest.TestCase):
    def test_no_rule_is_broken_while_faults_overlap(self):
        violations = asyncio.run(run(SiteSoakOptions(SEED, FAULT_SECONDS)))
        self.assertEqual({rule: each for rule, each in violations.items() if each}, {})
