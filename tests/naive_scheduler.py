"""A slow reference scheduler: scans all waiting requests and takes the least."""

from sapphireyard.scheduling.placement import Placement


class NaiveScheduler:
    """Same rule as `Scheduler`, by scanning, for requests without deadlines."""

    def __init__(self, upstreams, options):
        self.limits = {limits.name: limits for limits in upstreams}
        self.options = options
        self.placement = Placement(keep_seconds=options.keep_seconds)
        for limits in upstreams:
            self.placement.add(limits)
        self.state = dict.fromkeys(self.limits, "up")
        self.waiting = []
        self.blocked = set()
        self.running = {}
        self.tags = {}
        self.virtual_time = 0.0
        self.roots = {}
        self.number = 0
        self.mean_duration = 1.0
        self.output_cost = upstreams[-1].output_cost

    def submit(self, request, now):
        customer = request.customer
        if not any(w["customer"] == customer for w in self.waiting):
            self.tags[customer] = max(self.tags.get(customer, 0.0), self.virtual_time)
        self.number += 1
        root = self.roots.setdefault(request.root, [now, 0.0])
        names = [n for n in self.limits if self.state[n] == "up"]
        holder = ""
        if self.options.cache_affinity:
            holder = self.placement.holder(request.program, names) or ""
        level, bound = 0, self.options.first_level
        while 0 < bound <= root[1]:
            level, bound = level + 1, bound * 4
        key = (level, root[0], self.number)
        self.waiting.append(
            dict(
                request=request,
                customer=customer,
                affinity=holder,
                key=key,
                submitted=now,
            )
        )
        self.unblock(holder)
        return self.decide(now)

    def unblock(self, name):
        """Consider an upstream again, or all of them for an empty name."""
        self.blocked = self.blocked - {name} if name else set()

    def cancel(self, request_id, now):
        for waiting in self.waiting:
            if waiting["request"].request_id == request_id:
                self.waiting.remove(waiting)
                self.unblock(waiting["affinity"])
                return self.decide(now)
        return self.finish(request_id, 0, now)

    def finish(self, request_id, output, now):
        if request_id in self.running:
            request, name, cost, started = self.running.pop(request_id)
            self.unblock(name)
            self.mean_duration += 0.1 * (now - started - self.mean_duration)
            actual = cost + (output - request.output_tokens) * self.output_cost
            self.add_service(request, actual - cost, now)
            if output:
                tokens = request.prefix_tokens + request.new_tokens + output
                record = self.placement.record(name)
                record.keep(
                    request.program,
                    tokens,
                    now,
                    customer=request.customer,
                    reserved=self.reserved(name),
                )
        return self.decide(now)

    def set_state(self, name, state, now):
        self.state[name] = state
        if state == "down":
            self.placement.record(name).clear()
        if state != "up":
            for waiting in self.waiting:
                if waiting["affinity"] == name:
                    waiting["affinity"] = ""
        self.unblock("")
        return self.decide(now)

    def add_service(self, request, cost, now):
        self.tags[request.customer] += cost
        root = self.roots.setdefault(request.root, [now, 0.0])
        root[1] = max(0.0, root[1] + cost)

    def running_on(self, name):
        return [r for r, upstream, _, _ in self.running.values() if upstream == name]

    def reserved(self, name):
        return sum(r.total_tokens for r in self.running_on(name))

    def has_slot(self, name):
        room = len(self.running_on(name)) < self.limits[name].batch_size
        return room and self.state[name] == "up"

    def fits(self, name, request):
        if not self.has_slot(name) or not self.running_on(name):
            return self.has_slot(name)
        total = self.reserved(name) + request.total_tokens
        return total <= self.limits[name].kv_tokens

    def fill(self, name):
        limits = self.limits[name]
        batch = len(self.running_on(name)) / limits.batch_size
        return max(batch, self.reserved(name) / limits.kv_tokens)

    def decide(self, now):
        grants = []
        while self.waiting:
            names = [n for n in self.limits if self.has_slot(n)]
            names = [n for n in names if n not in self.blocked]
            for name in sorted(names, key=lambda n: (self.fill(n), n)):
                choice = self.best(name, now)
                if choice:
                    grants.append(self.grant(name, choice, now))
                    break
                self.blocked.add(name)
            else:
                return grants
        return grants

    def heads(self, affinity, now):
        """Return the heads of the first four customers, the least served first."""
        mine = [w for w in self.waiting if w["affinity"] == affinity]
        customers = sorted({(self.tags[w["customer"]], w["customer"]) for w in mine})
        heads = []
        for _, customer in customers[:4]:
            own = [w for w in mine if w["customer"] == customer]
            oldest = min(own, key=lambda w: (w["submitted"], w["key"][2]))
            aged = self.is_aged(oldest, now)
            heads.append((oldest if aged else min(own, key=lambda w: w["key"]), aged))
        return heads

    def is_aged(self, waiting, now):
        if now - waiting["submitted"] < self.options.aging_seconds:
            return False
        customers = [w["customer"] for w in self.waiting]
        up = [n for n in self.limits if self.state[n] == "up"]
        room = sum(self.limits[n].batch_size for n in up)
        ahead = customers.count(waiting["customer"])
        wait = ahead * self.mean_duration / room * len(set(customers))
        return wait <= self.options.aging_backlog

    def must_hold(self, name, waiting, now):
        request, customer = waiting["request"], waiting["customer"]
        limits, record = self.limits[name], self.placement.record(name)
        if self.fill(name) < self.options.hold_fill:
            return False
        if now - waiting["submitted"] >= self.options.hold_seconds:
            return False
        need = request.total_tokens
        if record.fresh_total + self.reserved(name) + need <= limits.kv_tokens:
            return False
        users = {r.customer for r in self.running_on(name)} | set(record.customers())
        used = sum(
            r.total_tokens for r in self.running_on(name) if r.customer == customer
        )
        used += record.fresh_of(customer) + need
        return used > limits.kv_tokens / len(users | {customer})

    def may_leave_holder(self, name, waiting):
        affinity, request = waiting["affinity"], waiting["request"]
        if affinity in (name, "") or self.fits(affinity, request):
            return affinity in (name, "")
        seconds = self.placement.move_seconds(request, self.limits[name], affinity)
        queued = sum(w["affinity"] == affinity for w in self.waiting)
        saved = queued * self.mean_duration / self.limits[affinity].batch_size
        return saved > seconds * (1 + len(self.running_on(name)))

    def may_start(self, name, waiting, aged, now):
        if waiting["affinity"] == "" and self.must_hold(name, waiting, now):
            return False
        own = aged and waiting["affinity"] in (name, "")
        return own or self.fits(name, waiting["request"])

    def best(self, name, now):
        self.placement.record(name).age(now)
        ranked = []
        for affinity in {name, ""} | {w["affinity"] for w in self.waiting}:
            for waiting, aged in self.heads(affinity, now):
                may = self.may_leave_holder(name, waiting)
                if may and self.may_start(name, waiting, aged, now):
                    ranked.append((self.rank(waiting, aged), waiting))
                    break
        if not ranked:
            return None
        _, waiting = min(ranked, key=lambda entry: entry[0])
        if not self.fits(name, waiting["request"]):
            waiting["affinity"] = name
            return None
        return waiting

    def rank(self, waiting, aged):
        share = self.tags[waiting["customer"]]
        level, start, number = waiting["key"]
        if aged:
            return (share, 0, waiting["submitted"], 0.0, number)
        return (share, 1, level, start, number)

    def grant(self, name, waiting, now):
        self.virtual_time = max(
            self.virtual_time, min(self.tags[w["customer"]] for w in self.waiting)
        )
        request = waiting["request"]
        self.waiting.remove(waiting)
        self.unblock(waiting["affinity"])
        cached = self.placement.cached(name, request)
        cost = request.prefix_tokens + request.new_tokens - cached
        cost += request.output_tokens * self.output_cost
        self.running[request.request_id] = (request, name, cost, now)
        record = self.placement.record(name)
        record.drop(request.program)
        record.trim(self.reserved(name))
        self.add_service(request, cost, now)
        if waiting["affinity"] not in (name, ""):
            self.placement.record(waiting["affinity"]).drop(request.program)
        return request.request_id, name
