"""The gate: stands between a planner's tables and every front, and remembers what it held back.

    gate = Gate(settings, rules, enforce=True)
    moved = gate.review(proposed, touched, facts, full, now)      # tables that changed without an order
    lines, level = gate.allowed[number]
    gate.events()                                                 # what the log should hear of

A finding is told once by rule and table, with its figures, and counted from then on; it is told again when
it ends.
A table held back for longer than the drain grace raises an alarm.
"""

from collections.abc import Collection, Mapping
from typing import Any

from swiftchute.guard.guard import LATE, Fact, Guard, Proposal, Refusal, Rules
from swiftchute.interface import Settings

S = 1_000_000_000
WORTH = 0.1  # a mended line that moves by less than this part, unordered, stays as it went out


class Gate:
    """Keeps what may go out by table, and which findings stand."""

    def __init__(self, settings: Settings, rules: Rules, enforce: bool) -> None:
        """Without `enforce` findings are told and counted, and tables go out as proposed."""
        self.guard, self.enforce, self.grace = Guard(settings, rules), enforce, settings.drain_grace
        self.allowed: dict[int, tuple[dict[str, float], float]] = {}
        self.standing: dict[tuple[str, int], tuple[int, Refusal]] = {}  # since when a finding stands
        self.alarmed: set[tuple[str, int]] = set()
        self.counts: dict[str, int] = {}
        self._events: list[tuple[str, dict[str, Any]]] = []

    def warm(self, facts: Mapping[str, Fact], now: int) -> Any:
        """Whether a listed server is ready and no longer cold."""
        return lambda n: facts[n].state == "ready" and self.guard.capacity(facts[n], now) >= 1

    def review(self, proposed: Mapping[int, Proposal], touched: Collection[int], facts: Mapping[str, Fact],
               full: Mapping[str, float], now: int) -> list[int]:  # fmt: skip
        """Judge all tables; returns those nobody ordered to change whose allowed content did."""
        before = {number: lines for number, (lines, _) in self.allowed.items()}
        verdict = self.guard.judge(proposed, before, facts, full, now)
        self._note(verdict.refusals, now)
        moved = []
        for number, made in verdict.tables.items():
            table = proposed[number]
            content = made if self.enforce else (dict(table.lines), table.level)
            old = self.allowed.get(number)
            if number not in touched and old is not None:
                if not self._moved(old, content):
                    continue
                moved.append(number)
            self.allowed[number] = content
        return moved

    @staticmethod
    def _moved(old: tuple[dict[str, float], float], new: tuple[dict[str, float], float]) -> bool:
        """Whether an unordered change is worth its lines: caps of warming servers rise a little all
        the time."""
        if old[0].keys() != new[0].keys():
            return True
        pairs = [*((old[0][n], w) for n, w in new[0].items()), (old[1], new[1])]
        return any(abs(b - a) > WORTH * a for a, b in pairs)

    def _note(self, refusals: list[Refusal], now: int) -> None:
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

    def _tell(self, event: str, refusal: Refusal, **more: Any) -> None:
        done = refusal.done if self.enforce or refusal.done != "mended" else "warned"
        told = {"rule": refusal.rule, "table": refusal.table, "servers": list(refusal.servers)[:8]}
        figures = {"figure": round(refusal.figure, 3), "limit": round(refusal.limit, 3)}
        self._events.append((event, told | figures | {"done": done} | more))

    def events(self) -> list[tuple[str, dict[str, Any]]]:
        """What the log should hear of since the last call."""
        told, self._events = self._events, []
        return told
