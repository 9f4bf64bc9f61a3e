"""Measures what heartbeats cost a host of a fleet, active or standing by.

Run ``python -m bench.heartbeats``. Fleets of several sizes exchange heartbeats in
virtual time; the processor time of building and reading them is measured.
"""

import json
import time

from sapphireyard.fleet.membership import ENTRY
from tests.gossip_world import World

START_SECONDS = 8.0
MEASURED_SECONDS = 10.0
SIZES = {7: 4, 69: 4, 171: 6, 410: 16}
"""Number of failure domains by number of entry hosts."""
LARGE_CORES = 2.15
SMALL_CORES = 0.516
LARGE_PER_DOMAIN = 3
"""Sizes of the hosts, and how many large ones a failure domain has."""


def build_sizes(hosts, domains):
    """Return the failure domain and the cores of each host."""
    return [
        (
            f"domain-{number % domains:02}",
            LARGE_CORES if number < domains * LARGE_PER_DOMAIN else SMALL_CORES,
        )
        for number in range(hosts)
    ]


def measure(hosts, domains):
    """Return the costs per second and host, for active and for standby hosts."""
    world = World(build_sizes(hosts, domains), copies=6)
    world.start_all()
    world.run(START_SECONDS)
    del world.sent[:]
    started = time.process_time()
    world.run(MEASURED_SECONDS)
    seconds = time.process_time() - started
    active = world.list_active()
    domain_of = {profile.host: profile.failure_domain for profile in world.profiles}
    entries = {profile.host for profile in world.profiles if profile.role == ENTRY}
    result = {
        "hosts": hosts,
        "active": len(active),
        "core_percent_mean": round(100 * seconds / MEASURED_SECONDS / hosts, 3),
    }
    for name, group in (("active", active), ("standby", entries - active)):
        sent = [each for each in world.sent if each[0] in group]
        across = sum(s for a, b, s in sent if domain_of[a] != domain_of[b])
        scale = MEASURED_SECONDS * max(1, len(group))
        result[name] = {
            "datagrams_sent": round(len(sent) / scale, 1),
            "bytes_sent": round(sum(size for *_, size in sent) / scale),
            "bytes_sent_to_other_domains": round(across / scale),
            "datagrams_received": round(
                sum(to in group for _, to, _ in world.sent) / scale, 1
            ),
        }
    return result


def main():
    """Print one line of JSON per fleet."""
    for hosts, domains in SIZES.items():
        print(json.dumps(measure(hosts, domains)))


if __name__ == "__main__":
    main()
