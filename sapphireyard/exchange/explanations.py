"""Where a request would go now, and why, without sending it.

The answers come from the objects that decide on requests: the configuration, the
customers' rates, the schedulers. Nothing is counted, queued or sent.
"""

from dataclasses import asdict, dataclass, field
from functools import singledispatch

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import ProgramCall
from sapphireyard.exchange.requests import AdmittedRequest
from sapphireyard.exchange.routes import Customer
from sapphireyard.scheduling.scheduling import Grant, Refuse

SENT = "sent"
WAITS = "waits"
REFUSED = "refused"
DEFAULT_SECONDS = 3.0
"""Time that the caller is taken to wait if none is given."""


@dataclass(frozen=True)
class RequestOutline:
    """What is known of a request that is to be explained.

    Parameters
    ----------
    host, path : str
        Host name and path in the caller's URL.
    customer : str, optional
        Name of the customer; not needed on public routes.
    program : str, optional
        Program that the request belongs to.
    prompt_tokens, output_tokens : int, optional
        Tokens of the prompt, and the most that are generated.
    kept_tokens : int, optional
        Tokens of the program's history, part of the prompt.
    seconds : float, optional
        Time for which the caller waits.
    """

    host: str
    path: str
    customer: str = ""
    program: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    kept_tokens: int = 0
    seconds: float = DEFAULT_SECONDS


@dataclass
class Explanation:
    """What would happen to a request now.

    Parameters
    ----------
    host : str
        Host that explains.
    outcome : {'sent', 'waits', 'refused'}
        What would happen.
    reason : str
        Why, in words.
    upstream : str
        Upstream that it would be sent to; empty unless it would be sent.
    retry_after : float or None
        Seconds that a refused caller would be told.
    steps : dict
        What each decision on the way depends on, in their order.
    """

    host: str
    outcome: str = REFUSED
    reason: str = ""
    upstream: str = ""
    retry_after: float | None = None
    steps: dict = field(default_factory=dict)


class Explainer:
    """Explains what this host would do with a request.

    Parameters
    ----------
    runtime : Runtime
        Provides configuration, quotas, history, pools and clock.
    exchange : Exchange
        Builds the requests for slots.
    """

    def __init__(self, runtime, exchange):
        self._runtime = runtime
        self._exchange = exchange

    def explain(self, outline):
        """Return the `Explanation` of a `RequestOutline`.

        Raises
        ------
        CallError
            ``invalid_request``: there is no such customer or upstream.
        """
        explanation = Explanation(self._runtime.host)
        try:
            admitted = self._admit(outline, explanation.steps)
            self._check_rate(admitted, explanation.steps)
            self._check_copies(admitted, explanation.steps)
            self._place(admitted, outline, explanation)
        except CallError as error:
            if error.code == "invalid_request":
                raise
            explanation.outcome = REFUSED
            explanation.reason = f"{error.code}: {error.detail}"
            explanation.retry_after = error.retry_after
        return explanation

    def _admit(self, outline, steps):
        configuration = self._runtime.configuration
        steps["configuration"] = {
            "version": configuration.table.version,
            "age": round(configuration.age, 2) if configuration.loaded else None,
        }
        configuration.check()
        table = configuration.table
        customer = Customer("")
        if outline.customer:
            customer = table.customers.get(outline.customer)
            if customer is None:
                raise CallError(
                    "invalid_request", f"there is no customer {outline.customer!r}"
                )
        route = table.find_route(outline.host, outline.path)
        if route is None:
            raise configuration.build_refusal(
                "route_unknown", f"no route for {outline.host}{outline.path}"
            )
        if not outline.customer and not route.public:
            raise CallError("key_unknown", f"route {route.name!r} needs a customer")
        now = self._now()
        call = ProgramCall(
            request_id="explained",
            method="POST",
            target=outline.path,
            host=outline.host,
            key="",
            arrived_at=now,
            timeout=outline.seconds,
            program=outline.program,
            prompt_tokens=outline.prompt_tokens,
            output_tokens=outline.output_tokens,
            previous_turn="explained" if outline.kept_tokens else "",
        )
        service = route.choose_service(outline.program or outline.path)
        deadline = now + min(outline.seconds, route.timeout)
        admitted = AdmittedRequest(call, route, customer, service, deadline)
        steps["route"] = {
            "route": route.name,
            "service": service,
            "priority": admitted.priority,
            "deadline_seconds": round(deadline - now, 3),
            "attempts": route.attempts,
        }
        return admitted

    def _check_rate(self, admitted, steps):
        customer = admitted.customer
        if not customer.name or customer.quota is None:
            steps["rate"] = {"rate": None}
            return
        quotas = self._runtime.quotas
        wait = quotas.find_wait(
            customer.name,
            customer.quota,
            self._now(),
            opening=admitted.opens_program,
            urgent=admitted.priority == 0,
        )
        steps["rate"] = {
            "rate": customer.quota.rate,
            "burst": customer.quota.burst,
            "wait": round(wait, 3),
            **quotas.describe(customer.name),
        }
        if wait > self._exchange.find_rate_patience(admitted):
            raise CallError(
                "rate_exceeded",
                f"customer {customer.name!r} is above its rate",
                retry_after=wait,
            )

    def _check_copies(self, admitted, steps):
        if admitted.route.retention is None:
            return
        history = self._runtime.history
        steps["copies"] = {
            "members": sorted(history.copies.members),
            "enough": history.keeps_turns,
        }
        if not history.keeps_turns:
            raise CallError(
                "history_unavailable", "too few copies of histories are reachable"
            )

    def _place(self, admitted, outline, explanation):
        request = self._exchange.build_slot_request(
            admitted, (), prefix_tokens=outline.kept_tokens
        )
        preview = self._runtime.pools.preview(request)
        explanation.steps["queue"] = {
            "waiting": preview.waiting,
            "expected_wait": round(preview.expected_wait, 3),
        }
        explanation.steps["upstreams"] = [
            {**asdict(view), **self._describe_way(view.upstream)}
            for view in preview.upstreams
        ]
        _apply(preview.action, explanation)

    def _describe_way(self, name):
        """Return how this host reaches an upstream."""
        pools = self._runtime.pools
        upstream = pools.find(name)
        return {
            "link": "up" if pools.links.is_up(name) else "down",
            "relays": len(pools.list_relays(name, self._now())),
            "failure_domain": upstream.failure_domain if upstream else "",
        }

    def _now(self):
        return self._runtime.clock.monotonic()


@singledispatch
def _apply(action, explanation):
    """Write what a scheduler would do into an explanation."""
    explanation.outcome = WAITS
    explanation.reason = "no upstream has room for it, or others wait before it"


@_apply.register
def _(action: Grant, explanation):
    explanation.outcome = SENT
    explanation.upstream = action.upstream
    explanation.reason = action.reason


@_apply.register
def _(action: Refuse, explanation):
    explanation.outcome = REFUSED
    explanation.reason = "overloaded: it could not start before its deadline"
    explanation.retry_after = action.retry_after
