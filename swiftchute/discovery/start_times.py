"""When endpoints started, on the clock of this process. No I/O; the time comes in with each call.

Discovery gives a start as wall clock time, and the wall clock of this process or of the endpoint may have
been stepped. The clock of this process runs on, so what it heard of itself bounds an age: a start of which it
was told now is at most as old as the last time when it was up to date, and what discovery may be late. The
wall clock may make an age shorter than that, never longer. Only the first list has no such bound: there the
wall clock alone tells. No start lies in the future.
"""

from typing import NamedTuple

from swiftchute.api.endpoints import EndpointRecord

MAX_REMEMBERED_STARTS = 25_000  # past it that of the endpoint that was listed first is forgotten


class Start(NamedTuple):
    """A start of an endpoint."""

    listed_ns: int  # as discovery gave it
    started_ns: int  # on the clock of this process


class StartTimes:
    """The last start of each endpoint that was listed."""

    def __init__(self, max_delay_ns: int) -> None:
        """No endpoint was listed yet; discovery tells of a start `max_delay_ns` after it at the latest."""
        self._max_delay_ns = max_delay_ns
        self._starts: dict[str, Start] = {}

    def adjust(self, record: EndpointRecord, now_ns: int, heard_ns: int | None) -> EndpointRecord:
        """Return a record with its start on the clock of this process.

        Args:
            record: The record as discovery gave it.
            now_ns: The present time, nanoseconds.
            heard_ns: When discovery was heard before this record came, None if it never was.
        """
        if not record.started_ns:
            return record
        start = self._starts.get(record.endpoint)
        if start is None or start.listed_ns != record.started_ns:
            start = Start(record.started_ns, self._bounded_start_ns(record.started_ns, now_ns, heard_ns))
            self._starts[record.endpoint] = start
            if len(self._starts) > MAX_REMEMBERED_STARTS:
                del self._starts[next(iter(self._starts))]
        return record._replace(started_ns=start.started_ns)

    def _bounded_start_ns(self, listed_ns: int, now_ns: int, heard_ns: int | None) -> int:
        earliest_ns = listed_ns if heard_ns is None else heard_ns - self._max_delay_ns
        return min(max(listed_ns, earliest_ns), now_ns)
