"""Compares the scheduling policy with a naive baseline, in virtual time.

Run ``python -m bench.policy``; it prints a table and, with ``--json FILE``,
writes all figures. The same seeds give the same figures.
"""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from statistics import mean

from bench.arms import NaiveArm, PolicyChange, ScheduledArm
from bench.simulation import Simulation
from bench.workload import HATUA, KITAMICHI, Workload

DURATION_SECONDS = 600.0
LOAD = 0.2
BUSY_LOAD = 0.27
FLOOD = (120.0, 420.0)
DEATHS = ((150.0, 0, 60.0), (330.0, 1, 60.0))
SLOW = ((150.0, 0, 90.0, 20.0),)
DEPLOYMENTS = {each.name: each for each in (HATUA, KITAMICHI)}


@dataclass(frozen=True)
class Scenario:
    """Load and failures during a run.

    Parameters
    ----------
    load : float
        Programs per second per engine.
    flood : tuple of float, optional
        Start and end of the time in which the largest customer sends five
        times its rate.
    deaths : tuple, optional
        Engines that fail: time, engine number, seconds of outage.
    slow : tuple, optional
        Engines that slow down: time, engine number, seconds, factor.
    """

    load: float = LOAD
    flood: tuple | None = None
    deaths: tuple = ()
    slow: tuple = ()


SCENARIOS = {
    "calm": Scenario(),
    "busy": Scenario(load=BUSY_LOAD),
    "overload": Scenario(flood=FLOOD),
    "deaths": Scenario(deaths=DEATHS),
    "slow": Scenario(slow=SLOW),
}

ARMS = {
    "naive": NaiveArm,
    "naive, exact limits": partial(NaiveArm, split=False),
    "policy": ScheduledArm,
}

ABLATIONS = {
    "without fair shares": PolicyChange({"fair": False}),
    "without service levels": PolicyChange({"first_level": 0.0}),
    "with service levels": PolicyChange({"first_level": 4_000.0}),
    "without aging": PolicyChange({"aging_seconds": 1e9}),
    "aging of all": PolicyChange({"aging_backlog": float("inf")}),
    "without cache affinity": PolicyChange(
        {"cache_affinity": False, "hold_new": False}
    ),
    "without holding new": PolicyChange({"hold_new": False}),
    "without moves": PolicyChange({"move": False}),
    "without early refusal": PolicyChange({"refuse": False}),
    "without release": PolicyChange(release=False),
}

WEIGHTS = {
    f"latency weight {weight}": PolicyChange(latency_weight=weight)
    for weight in (0.0, 0.25, 0.5, 0.75, 1.0)
}


@dataclass
class Result:
    """Figures of one run, or their means over seeds.

    ``p50`` to ``p99`` are latencies of programs in seconds. ``worst`` is the
    highest mean slowdown of a customer against an idle engine. Fields with
    ``within`` leave out the customer over its rate; fields that start with
    ``flooder`` are of that customer only. ``again`` fields are of tokens of the
    history that were prefilled again. ``wrongful`` counts refusals of customers
    within their rate.
    """

    programs: float
    p50: float
    p95: float
    p99: float
    within_p95: float
    again_millions: float
    again_share: float
    worst: float
    worst_within: float
    wrongful: float
    flooder_programs: float
    flooder_given_up: float
    failed_calls: float


def find_quantile(values, share):
    """Return the value below which the fraction `share` of `values` lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run(deployment, scenario, arm_or_change, seed):
    """Run one arm on one workload; return its `Result`."""
    workload = Workload(
        deployment,
        seed=seed,
        seconds=DURATION_SECONDS,
        load=scenario.load,
        flood=scenario.flood,
    )
    arm = arm_or_change
    if isinstance(arm_or_change, PolicyChange):
        arm = partial(ScheduledArm, change=arm_or_change)
    simulation = Simulation(
        workload, deployment, arm, deaths=scenario.deaths, slow=scenario.slow
    )
    return summarise(simulation.run(), workload.flooding)


def summarise(measures, flooding):
    """Return the `Result` of one run's measures."""
    latencies = measures.latencies
    all_latencies = [value for values in latencies.values() for value in values]
    within = [v for name, vs in latencies.items() if name != flooding for v in vs]
    slowdowns = {name: mean(values) for name, values in measures.slowdowns.items()}
    wrongful = sum(n for name, n in measures.wrongful.items() if name != flooding)
    return Result(
        programs=len(all_latencies),
        p50=find_quantile(all_latencies, 0.5),
        p95=find_quantile(all_latencies, 0.95),
        p99=find_quantile(all_latencies, 0.99),
        within_p95=find_quantile(within, 0.95),
        again_millions=measures.recomputed_tokens / 1e6,
        again_share=measures.recomputed_tokens / measures.prompt_tokens,
        worst=max(slowdowns.values()),
        worst_within=max(v for name, v in slowdowns.items() if name != flooding),
        wrongful=wrongful,
        flooder_programs=len(latencies[flooding]) if flooding else 0,
        flooder_given_up=measures.given_up[flooding],
        failed_calls=measures.failed_calls,
    )


def average(results):
    """Return the field-wise mean of results."""
    rows = [asdict(result) for result in results]
    return Result(**{name: mean(row[name] for row in rows) for name in rows[0]})


def plan_jobs(options):
    """Return (deployment, scenario, arm name, arm); each is run once per seed."""
    jobs = []
    for deployment in options.deployments:
        for scenario in options.scenarios:
            arms = dict(ARMS)
            if options.weights:
                arms |= WEIGHTS
            elif scenario == "overload":
                arms |= ABLATIONS
            elif scenario == "slow":
                arms["without moves"] = ABLATIONS["without moves"]
            jobs += [(deployment, scenario, *arm) for arm in arms.items()]
    return jobs


def _run_job(job):
    deployment, scenario, _, arm_or_change, seed = job
    return run(DEPLOYMENTS[deployment], SCENARIOS[scenario], arm_or_change, seed)


def print_table(rows):
    """Print rows of deployment, scenario, name of the arm and `Result`."""
    names = list(Result.__dataclass_fields__)
    last = None
    for deployment, scenario, arm, result in rows:
        if (deployment, scenario) != last:
            last = (deployment, scenario)
            print(f"\n{deployment}, {scenario}")
            print(f"{'':24s}" + "".join(f"{name[:12]:>13s}" for name in names))
        values = asdict(result).values()
        print(f"{arm:24s}" + "".join(f"{value:13.2f}" for value in values))


def main():
    """Run the scenarios given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS))
    parser.add_argument("--weights", action="store_true", help="latency weights")
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--json", help="file for all figures")
    options = parser.parse_args()
    jobs = plan_jobs(options)
    runs = [(*job, seed) for job in jobs for seed in options.seeds]
    with ProcessPoolExecutor(options.workers) as executor:
        results = list(executor.map(_run_job, runs))
    count = len(options.seeds)
    rows = [
        (*job[:3], average(results[index * count : (index + 1) * count]))
        for index, job in enumerate(jobs)
    ]
    print(f"seeds {options.seeds}; means over seeds; times in seconds")
    print_table(rows)
    if options.json:
        figures = [
            {"deployment": d, "scenario": s, "arm": a, **asdict(r)}
            for d, s, a, r in rows
        ]
        with open(options.json, "w") as file:
            json.dump({"seeds": options.seeds, "results": figures}, file, indent=1)


if __name__ == "__main__":
    main()
