"""Planning of the orders that bring an engine to its pool's configuration."""

from dataclasses import asdict, dataclass, field

LOAD_MODEL = "load_model"
UNLOAD_MODEL = "unload_model"
LOAD_ADAPTER = "load_adapter"
UNLOAD_ADAPTER = "unload_adapter"
SET_ROLE = "role"


@dataclass(frozen=True)
class EngineOrder:
    """One order to an engine."""

    kind: str
    name: str
    version: str = ""

    def encode(self, *, fencing, holder):
        """Return the JSON body of the order."""
        return {**asdict(self), "fencing": fencing, "holder": holder}


@dataclass(frozen=True)
class EngineState:
    """An engine's reported state: versions by model and adapter, and its role."""

    models: dict = field(default_factory=dict)
    adapters: dict = field(default_factory=dict)
    role: str = ""


def plan_orders(pool, upstream, state):
    """Return the orders that an upstream needs, in the order to send them.

    A pool without models or adapters in its configuration leaves the engine's
    own unchanged. Unwanted ones are unloaded first, since memory is limited.

    Parameters
    ----------
    pool : Pool
        The desired state.
    upstream : Upstream
        The engine; a leaving one gets no orders.
    state : EngineState
        The actual state.
    """
    if upstream.state != "active":
        return []
    orders = []
    if upstream.role and upstream.role != state.role:
        orders.append(EngineOrder(SET_ROLE, upstream.role))
    orders += _plan_unloads(pool.adapters, state.adapters, UNLOAD_ADAPTER)
    orders += _plan_unloads(pool.models, state.models, UNLOAD_MODEL)
    orders += _plan_loads(pool.models, state.models, LOAD_MODEL)
    orders += _plan_loads(pool.adapters, state.adapters, LOAD_ADAPTER)
    return orders


def _plan_unloads(wanted, present, kind):
    if not wanted:
        return []
    names = {model.name for model in wanted}
    return [EngineOrder(kind, name) for name in sorted(present) if name not in names]


def _plan_loads(wanted, present, kind):
    return [
        EngineOrder(kind, model.name, model.version)
        for model in wanted
        if model.name not in present
        or (model.version and present[model.name] != model.version)
    ]
