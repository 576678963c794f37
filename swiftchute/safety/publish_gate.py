"""The gate: stands between a planner's tables and every front, and remembers what it held back.

    gate = Gate(settings, rules, enforce=True)
    moved = gate.review(proposed, touched, facts, known, now, news)   # tables that changed without an order
    lines, level = gate.allowed[number]
    gate.events()                                                 # what the log should hear of

A finding is told once by rule and table, with its figures, and counted from then on; it is told again when
it ends. A table held back for longer than the drain grace raises an alarm.

A module that is refused proposes much the same again each round. After a few refusals in a row a table waits,
longer each time: what is ordered meanwhile is not judged until then, only drains leave it, as always.
"""

import random
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import Any

from swiftchute.api.settings import Settings
from swiftchute.safety.validator import (
    LATE,
    EndpointStatus,
    Observations,
    Proposal,
    SafetyRules,
    Validator,
    Violation,
)

S = 1_000_000_000
LEAVE = S // 3  # unordered, a table moves only after so long: most of what the list brings is ordered by then
PATIENT = 5  # refused orders of a table, past which it waits
WAIT, WAIT_MOST = S // 4, 8 * S  # the first wait and the longest
STAMPS = 64  # states of tables kept within the window of the rule on steps; past it the oldest goes
BEHIND = 4  # what waits in the channel may take a quarter of the drain grace: drains go behind it
WORTH = 0.1  # a mended line that moves by less than this part, unordered, stays as it went out


@dataclass
class _Waits:
    refused: int = 0  # 2 for each refused order, less 1 for each good one
    until: int = 0
    told: bool = False


class PublishGate:
    """Keeps what may go out by table, and which findings stand."""

    def __init__(self, settings: Settings, rules: SafetyRules, enforce: bool, seed: int = 0) -> None:
        """Without `enforce` findings are told and counted, and tables go out as proposed."""
        self.guard, self.enforce, self.grace = Validator(settings, rules), enforce, settings.drain_grace_ns
        self.random = random.Random(seed)
        self.waits: dict[int, _Waits] = {}
        self.past: deque[tuple[int, dict[int, dict[str, float]]]] = deque(maxlen=STAMPS)
        self.moving: dict[int, int] = {}  # since when a table should move without an order
        self.news = -1
        self.refusals: list[Violation] = []  # of the last review
        self.held: set[int] = set()  # ordered to change and held back, in the last review
        self.allowed: dict[int, tuple[dict[str, float], float]] = {}
        self.standing: dict[tuple[str, int], tuple[int, Violation]] = {}  # since when a finding stands
        self.alarmed: set[tuple[str, int]] = set()
        self.counts: dict[str, int] = {}
        self._events: list[tuple[str, dict[str, Any]]] = []

    def warm(self, facts: Mapping[str, EndpointStatus], now: int) -> Any:
        """Whether a listed server is ready and no longer cold."""
        return lambda n: facts[n].state == "ready" and self.guard.capacity(facts[n], now) >= 1

    def review(
        self,
        proposed: Mapping[int, Proposal],
        touched: Collection[int],
        facts: Mapping[str, EndpointStatus],
        known: Observations,
        now: int,
        news: int = 0,
        urgent: Collection[int] = (),
    ) -> list[int]:
        """Judge all tables; returns those nobody ordered to change whose allowed content did.

        `touched`: tables that were ordered to change; `news` counts changes of the list; `urgent`: touched by
        staff, who do not wait.
        """
        for number in urgent:
            self.waits.pop(number, None)
        waiting = {t for t, w in self.waits.items() if now < w.until and t in self.allowed and t in proposed}
        self.held = waiting & set(touched)
        if touched and waiting.issuperset(touched) and news == self.news:
            self.counts["waited"] = self.counts.get("waited", 0) + 1
            return []  # a limit on work: nothing that may change now is new
        self.news = news
        full = {t: table.spent for t, table in proposed.items() if t in self.allowed and self._full(table)}
        if self.enforce and "full channel" not in self.guard.rules.warn:
            waiting |= full.keys() - set(urgent)
            self.held = waiting & set(touched)
        asked = {
            number: replace(table, lines=self.allowed[number][0]) if number in waiting else table
            for number, table in proposed.items()
        }
        before = {number: lines for number, (lines, _) in self.allowed.items()}
        verdict = self.guard.judge(asked, before, facts, replace(known, then=self._then(before, now)), now)
        verdict.refusals += [self._overdrawn(t, spent) for t, spent in full.items() if t in touched]
        self.refusals = verdict.refusals
        self._note(verdict.refusals, now)
        if self.enforce:
            self._patience(verdict.refusals, set(touched) - waiting, now)
        moved = []
        for number, made in verdict.tables.items():
            table = asked[number]
            content = made if self.enforce else (dict(table.lines), table.level)
            old = self.allowed.get(number)
            if (number not in touched or number in waiting) and old is not None:
                if not self._moved(old, content):
                    self.moving.pop(number, None)
                    continue
                if now - self.moving.setdefault(number, now) < LEAVE and number not in waiting:
                    continue
                moved.append(number)
                self.held.discard(number)  # a drain takes it out all the same
            self.moving.pop(number, None)
            self.allowed[number] = content
        return moved

    def _full(self, table: Proposal) -> bool:
        """A decider that swings its weights would use up all messages, and the next drain would wait for
        more."""
        return table.spent >= self.guard.rules.channel_part

    def _overdrawn(self, number: int, spent: float) -> Violation:
        done = "warned" if "full channel" in self.guard.rules.warn else "mended"
        return Violation("full channel", number, (), spent, self.guard.rules.channel_part, done)

    @property
    def behind(self) -> int:
        """How long a drain may wait for what is in the channel."""
        return self.grace // BEHIND

    @property
    def due(self) -> int | None:
        """When what should move without an order has been left to the module for long enough."""
        return min(self.moving.values()) + LEAVE if self.moving else None

    def _then(self, before: dict[int, dict[str, float]], now: int) -> dict[int, dict[str, float]]:
        """What tables held a window ago."""
        window = self.guard.rules.step_window
        if not self.past or now - self.past[-1][0] >= window // (STAMPS - 2):
            self.past.append((now, before))
        while len(self.past) > 1 and self.past[1][0] <= now - window:
            self.past.popleft()
        return self.past[0][1]

    def _patience(self, refusals: list[Violation], touched: set[int], now: int) -> None:
        """Count refused orders in a row, and let a table wait that had too many."""
        refused = {r.table for r in refusals if r.done == "mended"}
        for number in touched:
            waits = self.waits.get(number)
            if number not in refused:
                if waits is not None:  # one good order among bad ones ends nothing: a decider may oscillate
                    waits.refused -= 1
                    if waits.refused <= 0:
                        del self.waits[number]
                        if waits.told:
                            self._events.append(("table waits", {"table": number, "on": False}))
                continue
            waits = self.waits.setdefault(number, _Waits())
            waits.refused = min(waits.refused + 2, 2 * PATIENT + 32)
            if waits.refused > 2 * PATIENT:
                most = min(WAIT << (waits.refused - 2 * PATIENT - 1) // 2, WAIT_MOST)
                waits.until = now + int(most * self.random.uniform(0.5, 1.0))
                if not waits.told:
                    waits.told = True
                    told = {"table": number, "on": True, "seconds": round(most / S, 2)}
                    self._events.append(("table waits", told))

    @staticmethod
    def _moved(old: tuple[dict[str, float], float], new: tuple[dict[str, float], float]) -> bool:
        """Whether an unordered change is worth its lines: caps of warming servers rise a little all
        the time."""
        if old[0].keys() != new[0].keys():
            return True
        pairs = [*((old[0][n], w) for n, w in new[0].items()), (old[1], new[1])]
        return any(abs(b - a) > WORTH * a for a, b in pairs)

    def _note(self, refusals: list[Violation], now: int) -> None:
        for refusal in refusals:
            self.counts[refusal.rule] = self.counts.get(refusal.rule, 0) + 1
        # what is only safe if the list is not late comes and goes with the load: it is counted, not told
        found = {(r.rule, r.table): r for r in refusals if r.rule != LATE}
        for key, refusal in found.items():
            since, _ = self.standing.get(key, (now, refusal))
            if key not in self.standing:
                self._tell("guard", refusal, on=True)
            elif now - since > self.grace and key not in self.alarmed and refusal.done == "mended":
                self.alarmed.add(key)
                self._tell("table held", refusal, seconds=round((now - since) / S, 1))
            self.standing[key] = (since, refusal)
        for key in self.standing.keys() - found.keys():
            since, refusal = self.standing.pop(key)
            self.alarmed.discard(key)
            self._tell("guard", refusal, on=False, seconds=round((now - since) / S, 1))

    def _tell(self, event: str, refusal: Violation, **more: Any) -> None:
        done = refusal.done if self.enforce or refusal.done != "mended" else "warned"
        told = {"rule": refusal.rule, "table": refusal.table, "servers": list(refusal.servers)[:8]}
        figures = {"figure": round(refusal.figure, 3), "limit": round(refusal.limit, 3)}
        self._events.append((event, told | figures | {"done": done} | more))

    def explain(
        self, number: int, ordered: Mapping[str, float], level: float, held: str, now: int
    ) -> dict[str, Any]:
        """Why a table goes out as it does: by line what was ordered and what is let out, and what stands;
        `held`: what else keeps it from the order, if anything does."""
        lines, most = self.allowed.get(number, (ordered, level))
        waits = self.waits.get(number)
        return {
            "level": {"ordered": level, "out": most},
            "lines": [
                {"server": n, "ordered": ordered.get(n, 0.0), "out": lines.get(n, 0.0)}
                | {"why": self._why(number, n) or held or "takes up what others may not have"}
                for n in sorted({**ordered, **lines})
                if ordered.get(n) != lines.get(n)
            ],
            "same": sum(ordered.get(n) == w for n, w in lines.items()),
            "findings": [
                {"rule": r.rule, "servers": list(r.servers)[:8], "figure": r.figure, "limit": r.limit,
                 "done": r.done, "seconds": round((now - since) / S, 1)}
                for (_, table), (since, r) in sorted(self.standing.items()) if table == number
            ],
            "waits": round(max(waits.until - now, 0) / S, 1) if waits else 0.0,
        }  # fmt: skip

    def _why(self, number: int, server: str) -> str:
        """The rules that hold a line; one on a cold server is told of one of its tables and acts in all."""
        rules = {r.rule for (_, t), (_, r) in self.standing.items()
                 if server in r.servers or (t == number and not r.servers)}  # fmt: skip
        return ", ".join(sorted(rules))

    def events(self) -> list[tuple[str, dict[str, Any]]]:
        """What the log should hear of since the last call."""
        told, self._events = self._events, []
        return told
