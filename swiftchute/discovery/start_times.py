"""Start times of endpoints on the clock of this process. No I/O; the caller passes the time.

Discovery reports a start as wall clock time, and the wall clock of this process or of the endpoint may have
been stepped. The clock of this process is never stepped and bounds the age of a start: one that is reported
now is not earlier than the last contact with discovery minus the longest delay of discovery. By the wall
clock the age can be shorter than this bound, never longer. The first list has no such bound: its start times
rely on the wall clock alone. No start lies in the future.
"""

from typing import NamedTuple

from swiftchute.api.endpoints import EndpointRecord

MAX_REMEMBERED_STARTS = 25_000  # beyond it, the endpoint that was listed first is forgotten


class Start(NamedTuple):
    """A start of an endpoint."""

    listed_ns: int  # as reported by discovery
    started_ns: int  # on the clock of this process


class StartTimes:
    """The last start of each listed endpoint."""

    def __init__(self, max_delay_ns: int) -> None:
        """Start without endpoints; discovery reports a start within `max_delay_ns`."""
        self._max_delay_ns = max_delay_ns
        self._starts: dict[str, Start] = {}

    def adjust(self, record: EndpointRecord, now_ns: int, last_contact_ns: int | None) -> EndpointRecord:
        """Return a record with its start time converted to the clock of this process.

        Args:
            record: The record as reported by discovery.
            now_ns: The current time, nanoseconds.
            last_contact_ns: Last contact with discovery before this record, None if there was none.
        """
        if not record.started_ns:
            return record
        start = self._starts.get(record.endpoint)
        if start is None or start.listed_ns != record.started_ns:
            start = Start(
                record.started_ns, self._bounded_start_ns(record.started_ns, now_ns, last_contact_ns)
            )
            self._starts[record.endpoint] = start
            if len(self._starts) > MAX_REMEMBERED_STARTS:
                del self._starts[next(iter(self._starts))]
        return record._replace(started_ns=start.started_ns)

    def _bounded_start_ns(self, listed_ns: int, now_ns: int, last_contact_ns: int | None) -> int:
        earliest_ns = listed_ns if last_contact_ns is None else last_contact_ns - self._max_delay_ns
        return min(max(listed_ns, earliest_ns), now_ns)
