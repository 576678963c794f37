"""Cache of composed answers: a reply is a cached answer under the header of its query. No I/O, no clock.

Example:
    cache = AnswerCache(records, usage_by_operation)
    reply = cache.answer(query, view, limit_bytes, now_ns)  # bytes; None if the name is not under the origin

An answer is composed once per version, question and view. Each reply consists of a header, the question as
received (its case is kept) and the sections, whose owner names are compression pointers to the question.
The size that the client accepts selects one of three forms: all records; the answer section without the
additional addresses; or no records with TC set, so that the client retries over TCP.
"""

import io
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import dns.rcode
import dns.rrset

from swiftchute.dns.query import (
    EMPTY_SECTIONS,
    HEADER_BYTES,
    OPT_RECORD_BYTES,
    Query,
    Sections,
    compose_reply,
)
from swiftchute.dns.records import LookupResult, ZoneRecords

NS_PER_S = 1_000_000_000
MAX_CACHED_ANSWERS = 20_000  # per version; when it is full, all are evicted and composed again on demand


@dataclass(slots=True)
class AnswerUsage:
    """How much the answers for an operation of a zone are used.

    Attributes:
        answers: Number of queries for them.
        cached_until_ns: When the last copy in the cache of a resolver expires.
    """

    answers: int = 0
    cached_until_ns: int = 0


@dataclass(slots=True)
class _CachedAnswer:
    """The answer to one question.

    Attributes:
        result: The records that it contains.
        code: Its response code.
        usage: The counters of its use; None for answers that do not depend on a table.
        variants: The forms with all records, sent in rotation; None for each that is not rendered yet.
        without_additional: The form without additional addresses; None if it is not rendered yet.
        variant_index: The variant that was sent last.
        admission_rate: The fraction of queries that are answered, 0 to 1.
    """

    result: LookupResult
    code: int
    usage: AnswerUsage | None = None
    variants: list[Sections | None] = field(default_factory=lambda: [None])
    without_additional: Sections | None = None
    variant_index: int = 0
    admission_rate: float = 1.0


class AnswerCache:
    """The answers of one version of the records.

    Attributes:
        records: The records that the answers contain.
        usage_by_operation: The use of answers by (zone, operation), shared by the caches of all versions.
    """

    def __init__(
        self, records: ZoneRecords, usage_by_operation: dict[tuple[str, str], AnswerUsage], seed: int = 0
    ) -> None:
        """Create an empty cache; `seed` is for the random choice of admitted queries."""
        self.records = records
        self.usage_by_operation = usage_by_operation
        self._random = random.Random(seed)
        self._ttl_ns = records.ttl_s * NS_PER_S
        self._answers: dict[tuple[bytes, int, str], _CachedAnswer] = {}
        self._origin_wire = records.names.origin.to_digestable()
        # The SOA record is not compressed, because it follows questions of different lengths.
        soa = io.BytesIO()
        records.soa().to_wire(soa)
        self._denial = Sections(b"\0\0\0\1\0\0", soa.getvalue())
        self._no_such_name = _CachedAnswer(LookupResult(), dns.rcode.NXDOMAIN, variants=[self._denial])

    def answer(self, query: Query, view: str, limit_bytes: int, now_ns: int) -> bytes | None:
        """Return the reply to a question of class IN; None if its name is not under the origin.

        Args:
            query: The query.
            view: The zone that is meant by names without a zone.
            limit_bytes: The largest reply that the client accepts.
            now_ns: The current time.
        """
        name = query.name.lower()
        answer = self._answers.get((name, query.record_type, view))
        if answer is None:
            if not is_subdomain(name, self._origin_wire):
                return None
            answer = self._add(name, query.record_type, view)
        if answer.usage is not None:
            answer.usage.answers += 1
            if answer.admission_rate < 1 and self._random.random() >= answer.admission_rate:
                return compose_reply(query, dns.rcode.SERVFAIL, EMPTY_SECTIONS)
            answer.usage.cached_until_ns = max(answer.usage.cached_until_ns, now_ns + self._ttl_ns)
        sections = self._next_variant(answer)
        available_bytes = limit_bytes - HEADER_BYTES - len(query.question)
        if query.payload_size_bytes:
            available_bytes -= OPT_RECORD_BYTES + len(query.reply_options)
        if len(sections.records) > available_bytes and answer.result.additional:
            if answer.without_additional is None:
                answer.without_additional = _join_records(answer.result.records, ())
            sections = answer.without_additional
        if len(sections.records) > available_bytes:
            return compose_reply(query, answer.code, EMPTY_SECTIONS, truncated=True)
        return compose_reply(query, answer.code, sections)

    def _add(self, name: bytes, record_type: int, view: str) -> _CachedAnswer:
        """Compose the answer to a question under the origin, and cache it if the name exists."""
        if not self.records.exists(name):  # not cached: the number of such names is unbounded
            return self._no_such_name
        answer = self._compose(name, record_type, view)
        if len(self._answers) >= MAX_CACHED_ANSWERS:
            self._answers.clear()
        self._answers[name, record_type, view] = answer
        return answer

    def _compose(self, name: bytes, record_type: int, view: str) -> _CachedAnswer:
        result = self.records.lookup(name, record_type, view)
        if not result.known:
            return _CachedAnswer(result, dns.rcode.SERVFAIL, variants=[EMPTY_SECTIONS])
        if not (result.rrsets or result.records or result.draws):
            return _CachedAnswer(result, dns.rcode.NOERROR, variants=[self._denial])
        answer = _CachedAnswer(result, dns.rcode.NOERROR, variants=[None] * max(len(result.draws), 1))
        if result.operation:
            key = (result.zone, result.operation)
            answer.usage = self.usage_by_operation.setdefault(key, AnswerUsage())
            answer.admission_rate = self.records.admission_rates.get(key, 1.0)
        return answer

    def _next_variant(self, answer: _CachedAnswer) -> Sections:
        """Return the next variant in the rotation; render it if needed."""
        index = answer.variant_index = (answer.variant_index + 1) % len(answer.variants)
        sections = answer.variants[index]
        if sections is None:
            sections = answer.variants[index] = self._render(answer.result, index)
        return sections

    def _render(self, result: LookupResult, index: int) -> Sections:
        if result.rrsets:
            return render_rrsets(result.rrsets)
        if result.draws:
            return _join_records([self.records.address_record(endpoint) for endpoint in result.draws[index]])
        return _join_records(result.records, result.additional)


def is_subdomain(name: bytes, origin: bytes) -> bool:
    """Return whether a name is the origin or a subdomain of it; both are in wire form and lower case."""
    offset = 0
    while len(name) - offset > len(origin):
        offset += name[offset] + 1
    return name[offset:] == origin


def render_rrsets(rrsets: Iterable[dns.rrset.RRset]) -> Sections:
    """Return an answer section of these RRsets, without name compression."""
    rendered = io.BytesIO()
    count = sum(rrset.to_wire(rendered) for rrset in rrsets)
    return Sections(count.to_bytes(2, "big") + bytes(4), rendered.getvalue())


def _join_records(answer: Iterable[bytes], additional: Iterable[bytes] = ()) -> Sections:
    """Return the sections of records in wire form whose owner names point to the question."""
    answer, additional = tuple(answer), tuple(additional)
    counts = len(answer).to_bytes(2, "big") + b"\0\0" + len(additional).to_bytes(2, "big")
    return Sections(counts, b"".join((*answer, *additional)))
