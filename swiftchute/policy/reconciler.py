"""All decisions of one planner.

Called once a round: `Planner(settings, seed).decide(now, calls, writer)`. `calls` is all that came in, in
order, as (name, arguments); decisions go straight into `writer`. Calls, settings and writer are described
in `swiftchute/interface.py`, the mechanism and its exceptions in `docs/design.md`.

A round: take in the calls -> judge health, levels, moves -> lay out the tables -> push and bind.
"""

import random
from collections import deque
from itertools import accumulate, chain
from statistics import median

from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    PeerMessageReceived,
    ProbeCompleted,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)

MS, S = 1_000_000, 1_000_000_000

QUIET, QUIET_CAP = 200 * MS, 1 * S  # debounce: act after this much quiet, or after this wait at the latest
TABLE_EVERY = 1 * S  # a table is pushed at most this often (drains and shut-outs excepted)
GATE, DRAIN_GATE = 0.5, 0.9  # the push job sends while the channel holds less than this part; drains go past
BIND_GATE = 0.7  # binds that tell of drains go past it as well, and leave room to drains in tables
BUSY = 0.1  # part of the channel that has to be ahead of a message for its answer to tell of the pace
PACE_LEAST = 0.15  # a channel is not held to be slower than this part of its usual pace
SPARE_MESSAGES = 0.6  # ordinary pushes use this part of a proxy's message allowance; the rest is for drains
RAMP_FROM = 0.25  # a new server starts at this part of its weight (the design's quarter)
SAMPLES, FRESH = 10, 2500 * MS  # reports kept of a server; beyond its span one counts for so long
ENOUGH = 6  # tries below which a server's figures are chance
JUDGE_EVERY = 1 * S  # reports are a second or two late: judging more often acts twice on the same news
FAR = 1.8  # a way over which even good servers cost this many times the usual is ill, a calm usual apart
STEP = 0.25  # part of the way (in logarithms) to its target that a weight goes in one judgement: news is late
FAILS = 0.8  # part of a server's tries past which, errored, its weight goes to its target at once
BORROW_UP, BORROW_DOWN = 0.6, 0.05  # parts of its way that borrowing goes in a judgement: causes tend to stay
TUNED = (0.25, 1.3)  # bounds of the correction by measured time: deeper cuts come back too slowly
WORTH_SENDING, LEVEL_WORTH = 0.12, 0.04  # a weight or level that moves by less than this part stays as sent
CUT = 0.5  # a weight that falls under this part of itself goes out at once; staff hear of cuts under it
RETURN = 1.15  # no evidence is not good evidence: a cut weight without tries grows by this until it has some
PRESSED, BY_PRICE = 0.12, 0.6  # time / objective from which a zone borrows: later by the crossing's price
BORROW_POWER = 1.5  # little at first: on calm days work stays in its zone
FULL_PRESS = 0.28  # and how much above that it borrows in full
BORROW_LEAST = 0.05  # borrowing under this is not worth its lines
BORROWED = 0.8  # levels wait until a zone borrows at least so much: other zones may have room
FELT = 1 * S  # what FRESH is to weights, for a zone's pressure: levels need fresher news
REST = 12 * S  # a way that was found ill is not borrowed over again for so long
SHED_AT, LET_AT = 0.4, 0.35  # mean time / objective above which levels fall, and below which they rise
FLOOD = 1.0  # and above which tries and levels fall together: what is sent now will mostly be late
LEVEL_LAG = 4  # judgements ago that the news tells of: a cut is reckoned from the level of then
LEVEL_DOWN, LEVEL_UP = 0.6, 1.5  # the most that a level falls or rises in one judgement
LEVEL_LEAST, LEVEL_COLD = 0.2, 0.1  # no level goes lower, as then it is not load; nor with only cold servers
ANSWERED = 0.8  # part of what is answered that is let in all the same, by short sums: long ones are old
NO_RATE = 1e6  # lets all in where levels are rates
LEVEL = ""  # the key of a table's level among its lines; no server is called so
SAFE = 0.4  # part of what the rule on cold servers lets through that a table plans for: speeds differ
CARRIED = 60  # judgements over which the most that a zone's servers carried is kept
MOVE_AT = 1.2  # share of load / share of weight past which a group gives up proxies: later one group floods
GONE = 200  # servers that are gone and are remembered: proxies of other planners may still hold them
ASKED = 2000  # marks of which it is remembered what was ahead of them
SEALS = 60_000  # marks are counted up to this and begin anew
TICK = 100 * MS  # the timer chain's step while something is due


class Server:
    """A listed server: what the list says, the last samples, and what follows from them."""

    def __init__(self, entry, place, group=None):
        self.place, self.group = place, group  # when it was first listed among all; its group in its zone
        self.samples = deque(maxlen=SAMPLES)  # (time, tries, errored, mean time of the good ones, span, zone)
        self.tuned = 1.0  # correction of the listed weight
        self.doubted = False  # dropped from a list that does not bind: its tries decide
        _, self.zone, _, _, self.state, self.weight, self.started = entry


class Proxy:
    """A joined proxy."""

    def __init__(self, zone, rate):
        self.zone, self.rate = zone, rate
        self.group = None  # the group of its zone that it is bound to
        self.waits = True  # for a bind: until then a proxy that moves holds its old group's tables
        self.messages = deque()  # when it was written to
        self.unread = {}  # mark -> lines written under it that the proxy has not answered for
        self.arrived = {}  # operation -> last (invocations, span)


class Table:
    """The table of a group: the lines wanted, the lines sent, and the waiting push (one at most)."""

    def __init__(self, number, zone, group, local, mask, tries):
        self.number, self.zone, self.group, self.local, self.mask = number, zone, group, local, mask
        self.want, self.sent = {}, {}
        self.first = self.last = None  # first and last change since the last push
        self.urgent, self.pushed = False, -TABLE_EVERY
        self.level, self.tries = 1.0, tries
        self.levels = deque(maxlen=LEVEL_LAG)  # of the last judgements, with what arrived a second then

    def change(self, urgent):
        """The lines that a push must carry, or its urgent ones alone; weight 0 takes one away."""
        names = sorted(self.sent.keys() | self.want.keys())
        lines = {n: self.want.get(n, 0) for n in names if self.want.get(n) != self.sent.get(n)}
        out = {n: w for n, w in lines.items() if n != LEVEL and w < CUT * self.sent.get(n, 0)}
        left = any(self.want.get(n) for n in self.sent.keys() - {LEVEL})  # a table is never left empty
        return out if urgent and left else lines


class Reconciler:
    """One instance of the decision module."""

    def __init__(self, settings, seed):
        self.set, self.random = settings, random.Random(seed)
        self.servers, self.proxies, self.slices = {}, {}, {}
        self.unread = 0  # lines written that no proxy has answered for: the channel holds no more than these
        self.pace, self.fastest = 1.0, 0.0  # the channel's by the usual one, and what answers showed of late
        self.ahead = {}  # mark -> the lines ahead of the last of its messages
        self.judged = self.armed = self.seal = self.judgements = self.listings = 0
        self.pressed = dict.fromkeys(settings.zones)  # what a zone's proxies felt when last judged
        self.retry_at, self.retry_wait = (
            0 if settings.list_needs_subscription else None,
            S,
        )  # when to subscribe
        ways = [(zone, other) for zone in settings.zones for other in settings.zones if other != zone]
        self.borrow = dict.fromkeys(ways, 0.0)
        self.rest = dict.fromkeys(ways, 0)  # until when an ill way is not borrowed over
        self.carried = {zone: deque(maxlen=CARRIED) for zone in settings.zones}  # a second, by unit of weight
        # an operation a row: its bit, its objective, whether it stays in its zone, whether it may run again
        self.operations = [
            (1 << k, op.latency_objective_ns, op.zone_local, op.idempotency == "idempotent")
            for k, op in enumerate(settings.operations)
        ]
        self.objective = min(objective for _, objective, _, _ in self.operations)
        self.tries = settings.default_retry_policy
        if not all(again for *_, again in self.operations):
            self.tries = min(self.tries, 1)  # a try beyond the provably safe one could take effect twice
        self.tables = {}  # (zone, group) -> its tables: for what may cross zones, and for what may not
        self.groups = dict.fromkeys(settings.zones, 0)
        self.shut = set()  # servers withdrawn because a proxy that was not bound yet might send there
        self.modes = set()  # what the staff were told is on
        self.handlers = {
            EndpointListUpdate: self.listed,
            ProxyConnected: self.joined,
            ProxyDisconnected: self.left,
            EndpointLoadReport: self.met,
            DemandReport: self.arrived,
            PushAcknowledged: self.applied,
            TimerFired: self.woke,
            ProbeCompleted: self.ignored,
            PeerMessageReceived: self.ignored,
            KeyRangeAssigned: self.slice_given,
            KeyRangeRevoked: self.slice_taken,
            KeyRangeEntryRestored: self.slice_line,
            KeyRangeDemandReport: self.ignored,
        }

    def reconcile(self, now, calls, writer):
        self.now, self.out = now, writer
        self.touched = {}  # proxy -> lines of this round's message
        for event in calls:
            self.handlers[type(event)](*astuple(event))
        if self.retry_at is not None and now >= self.retry_at:
            self.retry_at = None
            writer.subscribe(True)
        if self.set.key_range_count:
            self.tend_slices()
        else:
            judging = now - self.judged >= JUDGE_EVERY
            if judging or any(
                isinstance(event, EndpointListUpdate) for event in calls
            ):  # else only answers to marks
                self.form_groups()
                if judging:
                    self.judged = now
                    # the fastest answer tells of the channel, others of their proxies; without any it is well
                    shown, self.fastest = self.fastest or min(2 * self.pace, 1.0), 0.0
                    self.pace = max((self.pace + shown) / 2, PACE_LEAST)
                    self.mode("slow channel", self.pace < GATE, f"{self.pace:.2f} of its usual pace")
                    self.judge()
                    self.levels()
                    self.move()
                self.lay_out()
            self.push()
        if not self.armed and (self.proxies or self.retry_at is not None):  # one chain of timers
            self.armed = 1
            writer.start_timer(TICK, 1)

    # -- what comes in

    def listed(self, scope, entries):
        if scope == "lost":  # wait longer each time, by chance, so that planners do not call together
            self.retry_at = self.now + int(self.retry_wait * self.random.uniform(0.5, 1.0))
            self.retry_wait = min(2 * self.retry_wait, 8 * S)
            self.mode("list lost", True, f"asked again in {(self.retry_at - self.now) / S:.1f} s")
            return
        self.mode("list lost", False, f"{len(entries)} entries")
        self.retry_wait = S
        if scope in ("whole", "held"):
            named = {e.endpoint for e in entries}
            entries = [*entries] + [
                EndpointRecord(n, s.zone, "", 0, EndpointState.REMOVED, s.weight, s.started)
                for n, s in self.servers.items()
                if n not in named
            ]
        for entry in entries:
            known = self.servers.get(entry.endpoint)
            if known is None or entry.started_ns != known.started:  # a restart: what was measured is void
                place = known.place if known else self.listings
                self.listings += known is None
                self.servers[entry.endpoint] = Server(entry, place, known and known.group)
            else:
                removed = entry.state == "gone" and not self.set.removal_is_binding
                known.doubted = removed and known.state == "ready"
                known.state, known.weight = "ready" if known.doubted else entry.state, entry.weight

    def joined(self, proxy, zone, rate, fresh):
        self.left(proxy)
        self.proxies[proxy] = Proxy(zone, rate)

    def left(self, proxy):
        if proxy in self.proxies:  # what waited for it is lost
            self.unread -= sum(self.proxies.pop(proxy).unread.values())

    def met(self, zone, server, tries, errored, took, span, load):
        # large fleets are told of in turn: news stands until the next of its kind is due, a span later
        if server in self.servers:
            self.servers[server].samples.append((self.now + span, tries, errored, took, span, zone))

    def arrived(self, proxy, operation, invs, errored, span):
        if proxy in self.proxies:
            self.proxies[proxy].arrived.setdefault(operation, deque(maxlen=4)).append((invs, span))

    def applied(self, proxy, seal, took):
        """A proxy has read the message of this mark and all before it."""
        unread = self.proxies[proxy].unread if proxy in self.proxies else {}
        ahead = self.ahead.get(seal, 0) if seal in unread else 0
        if ahead > BUSY * self.set.egress_queue_limit_entries:
            usual = ahead * S / self.set.egress_rate_entries_per_s
            self.fastest = max(self.fastest, usual / max(took - self.set.max_push_delay_ns, usual))
        while seal in unread:
            self.unread -= unread.pop(next(iter(unread)))

    def woke(self, token):
        self.armed = 0

    def ignored(self, *arguments):
        """Nothing is decided by these yet."""

    # -- health

    def rests(self, way):
        return self.rest.get(way, 0) > self.now

    def figures(self, server, fresh, zone=None):
        """Tries, errored and mean cost of a good answer (an errored try costs an objective), of late.

        From the proxies of one zone, or of all but those behind an ill way: they tell of the way."""
        tries = errored = spent = 0
        for when, n, bad, took, _, origin in server.samples:
            counts = origin == zone if zone else not self.rests((origin, server.zone))
            if counts and self.now - when <= fresh:
                tries, errored, spent = tries + n, errored + bad, spent + (n - bad) * took
        return tries, errored, (spent + errored * self.objective) / max(tries - errored, 0.1)

    def answered(self, zone, servers, longest=CARRIED * S):
        """Good answers a second to the proxies of a zone, by the last news of each server."""
        lasts = [
            [x for x in s.samples if x[5] == zone and x[4] <= longest and self.now - x[0] <= FRESH][-1:]
            for s in servers
        ]
        return sum((n - bad) * S / max(span, 1) for _, n, bad, _, span, _ in chain.from_iterable(lasts))

    def pressure(self, zone, at, part=0.5):
        """Cost of a good answer to a zone's proxies at the zones `at`, by the objective; None without news.

        The middle one of the servers by tries: a few sick ones are the judge's matter, and no load."""
        figures = [self.figures(s, FELT, zone) for s in self.servers.values() if s.zone in at]
        costs = sorted((cost, tries) for tries, _, cost in figures if tries)
        passed = list(accumulate(tries for _, tries in costs))
        if not passed or passed[-1] < ENOUGH:
            return None
        middle = next(k for k, upto in enumerate(passed) if upto >= part * passed[-1])
        return costs[middle][0] / self.objective

    def judge(self):
        self.pressed = dict.fromkeys(self.pressed)  # where news stops nothing is judged on the old
        live = {name: s for name, s in self.servers.items() if s.state == "ready"}
        figures = {name: self.figures(s, FRESH) for name, s in live.items()}
        seen = [f for f in figures.values() if f[0] >= ENOUGH]
        if len(seen) < 2:
            return
        usual = median(f[2] for f in seen)
        # after a start nothing is known: the first judgements weigh as much as all news so far
        self.judgements += 1
        step = max(STEP, 1 / (1 + self.judgements))
        for name, server in live.items():
            tries, errored, cost = figures[name]
            if server.doubted and 2 * errored > tries:  # list and tries agree
                server.state = "gone"
            if tries < ENOUGH:
                server.tuned = max(server.tuned, min(server.tuned * RETURN, 1.0))
                continue
            cold = self.cold(server)
            most = 1.0 if cold else TUNED[1]  # a server under little load looks fast
            target = min(max(usual / cost, TUNED[0]), most)
            fails = errored > FAILS * tries and target < server.tuned  # time-outs are late news already
            server.tuned *= (target / server.tuned) ** (1.0 if fails else STEP if cold else step)
            self.mode(
                f"cut {name}",
                server.tuned < CUT,
                f"{errored} of {tries} tries errored,"
                f" {cost / MS:.0f} ms a good answer, usual {usual / MS:.0f}",
            )
        for zone in self.set.zones:
            warm = [s for s in live.values() if s.zone == zone and not self.cold(s)]
            if warm:
                good = sum(self.answered(origin, warm) for origin in self.set.zones)
                self.carried[zone].append(good / max(sum(s.weight for s in warm), 0.001))
            at = [other for other in self.set.zones if not self.rests((zone, other))]
            felt = self.pressed[zone] = self.pressure(zone, at)
            for way in [way for way in self.borrow if way[0] == zone and felt is not None]:
                self.judge_way(way, felt)

    def judge_way(self, way, felt):
        """How much a pressed zone borrows of another: nothing while its proxies fare far worse there.

        A slow or lossy way makes even the better servers behind it look bad; sick ones are but some."""
        there = self.pressure(way[0], way[1:], 0.25)  # even its better servers
        if there is not None and there > FAR * max(felt, LET_AT):
            self.rest[way] = self.now + REST
        rests = self.rests(way)
        over = felt - PRESSED - BY_PRICE * self.set.cross_zone_price
        want = 0.0 if rests else min(max(over / FULL_PRESS, 0.0), 1.0) ** BORROW_POWER
        step = BORROW_UP if rests or want > self.borrow[way] else BORROW_DOWN
        self.borrow[way] += step * (want - self.borrow[way])
        told, figures = " from ".join(way), f"time {felt:.2f} of the objective, {there or 0:.2f} there"
        self.mode(f"borrowing {told}", self.borrow[way] > BORROWED, figures)
        self.mode(f"no borrowing {told}", rests, figures)

    def levels(self):
        """Under pressure further tries go first, then levels; they come back in the opposite order."""
        for zone, felt in self.pressed.items() if self.set.admission_mode == "share" else ():
            if felt is None:
                continue
            rate = max(self.arriving(zone), 0.1)
            floor = max(ANSWERED * self.answered(zone, self.servers.values(), FRESH) / rate, LEVEL_LEAST)
            spent = all(self.borrow[w] > BORROWED or self.rests(w) for w in self.borrow if w[0] == zone)
            for table in [t for t in self.all_tables() if t.zone == zone]:
                table.levels.append((table.level, rate))
                let = table.levels[0][0] * table.levels[0][1] / rate  # lets in now what was let in then
                if felt > LET_AT:
                    table.tries = 0  # tries at full servers would double a flood at its start
                elif table.level == 1:
                    table.tries = self.tries
                if felt > FLOOD or felt > SHED_AT and (table.local or spent):
                    table.level = min(table.level, max(let * max(SHED_AT / felt, LEVEL_DOWN), floor))
                elif felt < LET_AT:
                    table.level = max(table.level, min(let * min(LET_AT / felt, LEVEL_UP), 1.0))
                told = f"time {felt:.2f} of the objective"
                self.mode(f"no further tries {zone} {table.number}", table.tries < self.tries, told)
                self.mode(f"level {zone} {table.number}", table.level < 1, f"{table.level:.2f}, {told}")

    def mode(self, name, on, figures):
        """One line for the staff when a mode changes, with the figures that caused it."""
        if on != (name in self.modes):
            (self.modes.add if on else self.modes.remove)(name)
            self.out.log(f"{name}: {'on' if on else 'off'}, {figures}")

    # -- tables

    def warmth(self, server):
        """How far a server is on the longest way to being warm, from 0 at its start to 1."""
        return min(max((self.now - server.started) / self.set.max_warmup_ns, 0), 1) if server.started else 1.0

    def cold(self, server):
        return self.warmth(server) < 1

    def allowed(self, server):
        """Invocations a second that a cold server may be sent: a safe part of the rule's multiple.

        The most that its zone's servers carried of late stands for a full capacity; before any report,
        what the proxies said at joining does."""
        carried = max(self.carried.get(server.zone, ()), default=0) or self.arriving(server.zone) / max(
            sum(s.weight for s in self.servers.values() if s.zone == server.zone), 1
        )
        now = self.set.start_capacity_fraction + (1 - self.set.start_capacity_fraction) * self.warmth(server)
        return SAFE * self.set.overload_multiple * now * carried * server.weight

    def guard_cold(self, table, lines):
        """Keep cold servers under what they may be sent, whatever the others take; returns a level for it."""
        cold = [n for n in lines if self.cold(self.servers[n])]
        if not cold:
            return 1.0
        # what comes to the table's own group, and at least its part of what comes to the zone
        bound = [x for x in self.proxies.values() if (x.zone, x.group) == (table.zone, table.group)]
        part = self.arriving(table.zone) / self.groups[table.zone]
        rate = max(sum(self.demand(x) for x in bound), part) * table.level
        may = {n: self.allowed(self.servers[n]) / max(rate, 0.1) for n in cold}
        total, warm = sum(may.values()), sum(w for n, w in lines.items() if n not in may)
        known = len(self.carried[table.zone]) >= LEVEL_LAG  # first news is of the first to join
        flood = (self.pressed[table.zone] or 0) > FLOOD and total < SAFE
        if self.set.ejection_failures and warm and (not known or flood):
            for name in may:  # proxies will soon avoid the failing others: a small line would be everything
                del lines[name]
            return 1.0
        for name, most in may.items() if total < 1 else ():
            lines[name] = min(lines[name], warm * most / (1 - total)) if warm else most
        return 1.0 if warm else min(max(total, LEVEL_COLD), 1.0)

    def weight(self, server):
        return server.weight * server.tuned * (RAMP_FROM + (1 - RAMP_FROM) * self.warmth(server))

    def form_groups(self):
        """Servers of a zone form groups, with a table for what may cross zones and one for what may not."""
        ready = [s for s in self.servers.values() if s.state == "ready"]
        masks = [
            (sum(bit for bit, _, stays, _ in self.operations if stays == local), local)
            for local in (False, True)
        ]
        for zone in [z for z, count in self.groups.items() if not count and ready]:
            here = sum(s.zone == zone for s in ready)
            self.groups[zone] = max(1, here // self.set.subset_size)
            for group in range(self.groups[zone]):
                first = 2 * len(self.tables) + 1
                self.tables[zone, group] = [
                    Table(first + local, zone, group, local, mask, self.tries)
                    for mask, local in masks
                    if mask
                ]
        for server in ready:
            if server.group is None and server.zone in self.groups:
                peers = [s.group for s in ready if s.zone == server.zone]
                server.group = min(range(self.groups[server.zone]), key=peers.count)

    def all_tables(self):
        return chain.from_iterable(self.tables.values())

    def loads(self, zone):
        """By group of a zone: the load of its proxies here, and its weight."""
        loads = [[0.0, 0.0] for _ in range(self.groups[zone])]
        for proxy in self.proxies.values():
            if proxy.zone == zone and not proxy.waits:
                loads[proxy.group][0] += self.demand(proxy)
        for server in self.servers.values():
            if server.zone == zone and server.state == "ready":
                loads[server.group][1] += self.weight(server)
        return loads

    def move(self):
        """Past its mark a group gives up proxies of ours, the largest that fit its excess."""
        for zone in self.set.zones:
            loads = self.loads(zone)
            total, weights = sum(load for load, _ in loads), sum(weight for _, weight in loads)
            for group, (load, weight) in enumerate(loads):
                excess = load - total * weight / max(weights, 0.001)
                if len(loads) == 1 or load <= MOVE_AT * (load - excess):
                    continue
                own = [x for x in self.proxies.values() if (x.zone, x.group, x.waits) == (zone, group, False)]
                for proxy in sorted(own, key=self.demand, reverse=True):
                    if self.demand(proxy) <= excess:
                        excess -= self.demand(proxy)
                        proxy.waits = True  # bound again below, to the group with most room

    def lay_out(self):
        """Work out each table's lines; a change that matters starts or widens its waiting push."""
        ready = {n: s for n, s in self.servers.items() if s.state == "ready"}
        weights = {n: self.weight(s) for n, s in ready.items()}
        for table in self.all_tables():
            own = [n for n, s in ready.items() if (s.zone, s.group) == (table.zone, table.group)]
            own = own or [n for n, s in ready.items() if s.zone == table.zone]
            lines = {n: weights[n] for n in own}
            alone = all(self.cold(ready[n]) for n in own)
            # to each group a part of the others: connections and lines would grow as proxies times servers
            parts, part = max(self.groups.values()), table.group + self.set.zones.index(table.zone)
            abroad = {
                n: 1.0 if alone else self.borrow.get((table.zone, s.zone), 0.0)
                for n, s in ready.items()
                if s.zone != table.zone and not table.local
            }
            mine = {n: share for n, share in abroad.items() if (ready[n].place - part) % parts == 0} or abroad
            lent = {n: share * weights[n] for n, share in mine.items() if share > BORROW_LEAST}
            warm = [n for n in lent if not self.cold(ready[n])]
            lines |= {n: lent[n] for n in warm or (lent if alone else ())}
            level = min(self.guard_cold(table, lines), table.level)
            # what full servers turn away would be tried at cold ones: no further tries beside them
            tries = table.tries and not any(self.cold(self.servers[n]) for n in lines)
            lines[LEVEL] = level if tries else -level  # one figure: minus is no further try
            before, table.want = table.want, {n: w for n, w in table.want.items() if n in lines}
            # by what was sent: a line may wait to be taken away when its server drains
            table.urgent |= any(self.servers[n].state != "ready" for n in table.sent.keys() - lines.keys())
            for name, weight in lines.items():
                old = table.want.get(name)
                worth = LEVEL_WORTH if name == LEVEL else WORTH_SENDING
                if old is None or abs(weight - old) > worth * abs(old):
                    table.urgent |= name != LEVEL and weight < CUT * table.sent.get(name, 0)
                    table.want[name] = round(weight, 4) or 0.0001
            if table.want != before:
                table.first = self.now if table.first is None else table.first
                table.last = self.now

    # -- the push job

    def book(self, proxies, lines, gate=DRAIN_GATE, spare=1.0):
        """Take room for so many lines to these proxies, if the channel and their allowances have it.

        All that was not answered for counts as still waiting, so a slow channel, a lost answer or a proxy
        that stands still holds pushes back and breaks no limit. Where answers show a slower pace what waits
        may be no more than leaves in the same time, as a drain behind half a channel would be late there."""
        head = self.set.message_overhead_entries + 1  # and the mark
        cost = {p: lines + (0 if p in self.touched else head) for p in proxies}
        most = gate * self.set.egress_queue_limit_entries
        if self.unread + sum(cost.values()) > most or self.unread > self.pace * most:
            return False
        for p in cost.keys() - self.touched.keys() if self.set.message_quota else ():
            sent = self.proxies[p].messages
            while sent and self.now - sent[0] > self.set.message_quota_window_ns:
                sent.popleft()
            if len(sent) + 1 > spare * self.set.message_quota - 1:
                return False
        for p, new in cost.items():
            self.touched[p] = self.touched.get(p, 0) + new
            self.unread += new
        return True

    def demand(self, proxy):
        """Invocations a second that came to a proxy of late; before any report, what it said at joining."""
        rates = [
            sum(n for n, _ in last) * S / max(sum(span for _, span in last), 1)
            for last in proxy.arrived.values()
        ]
        return sum(rates) if rates else proxy.rate

    def arriving(self, zone):
        """Invocations a second that came to the zone's proxies, those that came again after a refusal too."""
        return sum(self.demand(p) for p in self.proxies.values() if p.zone == zone)

    def push(self):
        for (zone, group), tables in self.tables.items():
            # the tables of a group go to the same proxies: one message for both
            changed = [t for t in tables if t.first is not None]
            if not changed:
                continue
            bound = [p for p, proxy in self.proxies.items() if (proxy.zone, proxy.group) == (zone, group)]
            due = any(
                self.now - t.pushed >= TABLE_EVERY
                and (self.now - t.last >= QUIET or self.now - t.first >= QUIET_CAP)
                for t in changed
            )
            if any(t.urgent for t in changed):
                self.send(changed, bound, True)
            if due or not bound:
                self.send(changed, bound, False, GATE, SPARE_MESSAGES)
        self.bind_waiting()
        self.shut_out()
        self.forget()
        if self.touched:
            self.seal = self.seal % SEALS + 1
            self.out.request_ack(self.seal, False)
            self.ahead[self.seal] = self.unread
            if len(self.ahead) > ASKED:
                del self.ahead[next(iter(self.ahead))]
        for p, lines in self.touched.items():
            self.proxies[p].messages.append(self.now)
            self.proxies[p].unread[self.seal] = lines

    def send(self, tables, bound, urgent, *limits):
        changes = [t.change(urgent) for t in tables]
        lines = sum(len(change) for change in changes)
        if lines and not self.book(bound, lines, *limits):
            return
        for table, change in zip(tables, changes, strict=True):
            for name, weight in sorted(change.items(), key=lambda c: c[1] == 0):  # never empty in between
                if name == LEVEL:
                    level = abs(weight) if self.set.admission_mode == "share" else NO_RATE
                    self.out.set_admission(table.number, 0, level, self.tries if weight > 0 else 0)
                else:
                    self.out.set_weight(table.number, name, weight)
            table.sent = {n: w for n, w in (table.sent | change).items() if w}
            table.urgent = False
            if not urgent:
                table.first, table.pushed = None, self.now

    def bind_waiting(self):
        """Bind proxies that wait, the busiest first, each to the group of its zone with most room."""
        waiting = [p for p, x in self.proxies.items() if x.waits and self.groups.get(x.zone)]
        by_zone = {zone: self.loads(zone) for zone in self.groups} if waiting else {}
        drains = any(server.state != "ready" for server in self.servers.values())
        # who holds tables that nobody here knows of comes before who is to move
        moves = {p: self.proxies[p].group is not None for p in waiting}
        for p in sorted(waiting, key=lambda p: (moves[p], -self.demand(self.proxies[p]), p)):
            proxy = self.proxies[p]
            gate = BIND_GATE if drains and not moves[p] else GATE
            loads = by_zone[proxy.zone]
            best = min(range(len(loads)), key=lambda g: loads[g][0] / max(loads[g][1], 0.001))
            tables = [t for t in self.tables[proxy.zone, best] if t.sent.keys() - {LEVEL}]
            if tables and self.book([p], sum(1 + len(t.sent) for t in tables), gate):
                for t in tables:
                    self.out.assign_table(p, t.number, t.mask)
                proxy.group, proxy.waits = best, False
                loads[best][0] += self.demand(proxy)

    def shut_out(self):
        """Tables carry the drains to bound proxies; others may hold lines that nobody here knows of."""
        tells = any(proxy.group is None for proxy in self.proxies.values())
        for name, server in self.servers.items():
            out = server.state != "ready"
            if out == (name in self.shut) or (out and not tells):
                continue
            # others get no message: lines booked for them would never be answered for, and hold pushes back
            holds = {k for k, tables in self.tables.items() if any(name in t.sent for t in tables)}
            told = [p for p, x in self.proxies.items() if x.group is None or (x.zone, x.group) in holds]
            # No further than binds, which come first: one tells of all drains, and a channel that withdrawals
            # keep full holds it back for good.
            if self.book(told, 1, BIND_GATE):
                self.out.set_ejected(name, out)
                (self.shut.add if out else self.shut.remove)(name)
            else:
                tells = False  # this round: those that wait are the same for each

    def forget(self):
        """Past the bound the servers first listed among those gone are forgotten, if no table names them."""
        if len(self.servers) <= GONE:
            return
        gone = [n for n, s in self.servers.items() if s.state == "gone"]
        if len(gone) <= GONE or any(proxy.group is None for proxy in self.proxies.values()):
            return
        named = set(chain.from_iterable(table.sent for table in self.all_tables()))
        for name in gone[:-GONE]:
            if name not in named:
                del self.servers[name]
                self.modes.discard(f"cut {name}")
                if name in self.shut:  # it concerns nobody any more: no line goes out
                    self.out.set_ejected(name, False)
                    self.shut.remove(name)

    # -- slices

    def slice_given(self, number):
        self.slices[number] = {}

    def slice_taken(self, number):
        self.slices.pop(number, None)

    def slice_line(self, number, server, weight):
        self.slices.setdefault(number, {})[server] = weight

    def tend_slices(self):
        """A slice keeps the lines it came with; one that has lost its last server gets another."""
        ready = {n: 1 for n, s in self.servers.items() if s.state == "ready"}
        for number, lines in self.slices.items() if ready else ():
            keep = {n: w for n, w in lines.items() if n in ready}
            if not keep:
                held = [n for others in self.slices.values() for n in others]
                keep = {min(ready, key=lambda n: (held.count(n), n)): 1}
            for name in [n for n in [*keep, *lines] if keep.get(n) != lines.get(n)]:
                if name in keep or not self.set.single_owner:  # there a new owner takes the old one's place
                    self.out.set_weight(number, name, keep.get(name, 0))
            self.slices[number] = keep
