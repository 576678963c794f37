"""One connection at the planner's address: bytes and times in, calls and bytes out. No I/O.

    stream = ProxySession(front, now)
    stream.received(data, now)      # calls go to the front; then look at `out` and `ended`
    stream.out                      # bytes to write; the shell takes them
    stream.ended                    # None, or why the connection is to be closed once `out` is written

A connection is a proxy's stream once it said `hello`, a collector's once it said `agent`. Until then whatever
cannot be used ends it with an `error`. A joined one drops and counts a spoilt message, and ends on bytes that
nobody can read.
"""

from collections import deque
from typing import TYPE_CHECKING, Any

from swiftchute.platform import wire_messages
from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

if TYPE_CHECKING:
    from swiftchute.platform.session_manager import SessionManager

MS = 1_000_000
FIRST_MOST = 1 << 13  # bytes of a message before joining: as many connections as descriptors may hold them
MARKS_MOST = 256  # marks that a proxy may owe; past it the oldest counts as lost


class ProxySession:
    """The state of one connection."""

    __slots__ = (
        "front", "since", "heard", "rest", "out", "ended", "proxy", "zone", "marks", "sent", "read", "late",
        "tag", "wrote", "old",
    )  # fmt: skip

    def __init__(self, front: "SessionManager", now: int) -> None:
        """A connection that has said nothing yet."""
        self.front, self.since, self.heard = front, now, now
        self.rest = bytearray()
        self.out: list[bytes] = []
        self.ended: str | None = None
        self.proxy: int | None = None
        self.zone: str | None = None  # a collector's
        self.marks: deque[tuple[int, int, int]] = deque()  # mark, bytes written with it and before, when
        self.old = 0  # of these, those that a module asked for which has failed since
        self.sent = self.read = 0  # bytes written, and those a mark has proved read
        self.wrote = now  # when a message was last written
        self.late = False  # past its time to join, seen once
        self.tag: Any = None  # the shell's

    @property
    def joined(self) -> bool:
        """It is a proxy's or a collector's."""
        return self.proxy is not None or self.zone is not None

    @property
    def unread(self) -> int:
        """Bytes that the proxy has not proved to have read."""
        return self.sent - self.read

    def received(self, data: bytes, now: int) -> None:
        """Take in bytes, in pieces of any size."""
        if self.ended is not None:
            return
        self.heard = now
        end = data.rfind(b"\n")
        if end < 0:
            self.rest += data
        else:
            whole = bytes(self.rest) + data[:end] if self.rest else data[:end]
            self.rest = bytearray(data[end + 1 :])
            for line in whole.split(b"\n"):
                if self._too_long(len(line)):
                    return
                self._line(line, now)
                if self.ended is not None:
                    self.rest.clear()
                    return
        self._too_long(len(self.rest))

    def _too_long(self, size: int) -> bool:
        most = wire_messages.LINE_MOST if self.joined else FIRST_MOST
        if size > most:
            self.end(f"a message of more than {most} bytes")
            self.rest.clear()
        return size > most

    def _line(self, line: bytes, now: int) -> None:
        try:
            message = wire_messages.read(line)
        except MalformedMessageError as why:
            if self.joined:
                self.front.dropped(self, str(why))
            else:
                self.end(str(why))
            return
        except UnreadableMessageError as why:
            if not line.strip():
                self.end("an empty line")
            else:
                self.end(f"unreadable: {why}")
            return
        kind = type(message)
        if kind is wire_messages.Probe:
            self.out.append(wire_messages.ALIVE)
            return
        cause = self.front.take(self, message, now)
        if cause is None:
            return
        if self.joined:
            self.front.dropped(self, cause)
        else:
            self.end(cause)

    def end(self, cause: str, tell: bool = True) -> None:
        """Nothing more is heard; the shell closes the connection. A collector is written nothing."""
        if self.ended is None:
            self.ended = cause
            if tell and self.zone is None:
                self.out.append(wire_messages.error(cause))

    # -- marks

    def pushed(self, size: int, seal: int | None, now: int) -> bool:
        """A message was written; True if the oldest mark counts as lost for it."""
        self.sent += size
        self.wrote = now
        if seal is not None:
            self.marks.append((seal, self.sent, now))
        lost = len(self.marks) > MARKS_MOST
        if lost:
            self.marks.popleft()
            self.old = max(self.old - 1, 0)
        return lost

    def fresh(self) -> None:
        """The module was started anew, and counts its marks from the beginning again."""
        self.old = len(self.marks)

    def applied(self, mark: int) -> bool | None:
        """The proxy answers for a mark and all before it; None if it owes no such mark, and False if that
        was a mark of a module that has failed since: the one of now may ask for the same number."""
        if not any(mark == owed for owed, _, _ in self.marks):
            return None
        answered = 0
        for owed, upto, _ in list(self.marks):
            self.marks.popleft()
            answered += 1
            self.read = max(self.read, upto)
            if owed == mark:
                break
        now = answered > self.old
        self.old = max(self.old - answered, 0)
        return now

    def waiting(self) -> int | None:
        """Since when the oldest mark waits."""
        return self.marks[0][2] if self.marks else None
