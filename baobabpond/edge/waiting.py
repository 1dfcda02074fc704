"""Hold the connections that wait for a request head."""

import typing


class Waiting(typing.NamedTuple):
    """Hold a connection and the monotonic times since which it waits."""

    connection: typing.Any
    # Since its last request, or since it was opened.
    idle_since: float
    # Since the first byte of a head; None without any.
    head_since: float | None
    head_bytes: int


class WaitingConnections:
    """Find connections by descriptor, age and address.

    In each table the oldest come first.
    """

    def __init__(self) -> None:
        self._by_fd: dict[int, Waiting] = {}
        self._idle: dict[str, dict[int, None]] = {}
        self._heads: dict[int, None] = {}
        self._head_bytes = 0

    @property
    def head_bytes(self) -> int:
        """Return the bytes of incomplete heads."""
        return self._head_bytes

    def get(self, fd: int) -> typing.Any:
        """Return the connection of a descriptor, or None."""
        entry = self._by_fd.get(fd)
        return entry and entry.connection

    def add(self, fd: int, connection: typing.Any, now: float) -> bool:
        """Add a connection or note its progress; return whether it is new."""
        size = len(connection.rfile.pending())
        entry = self._by_fd.get(fd)
        if entry is None:
            self._by_fd[fd] = Waiting(
                connection, now, now if size else None, size
            )
            self._idle.setdefault(connection.remote_addr, {})[fd] = None
        else:
            self._by_fd[fd] = entry._replace(
                head_since=entry.head_since or (now if size else None),
                head_bytes=size,
            )
        if size:
            self._heads[fd] = None
        self._head_bytes += size - (entry.head_bytes if entry else 0)
        return entry is None

    def pop(self, fd: int) -> bool:
        """Remove a connection; return whether it was there."""
        entry = self._by_fd.pop(fd, None)
        if entry is None:
            return False
        address = entry.connection.remote_addr
        self._idle[address].pop(fd)
        if not self._idle[address]:
            del self._idle[address]
        self._heads.pop(fd, None)
        self._head_bytes -= entry.head_bytes
        return True

    def pop_all(self) -> list[typing.Any]:
        """Remove and return all connections."""
        entries = list(self._by_fd.items())
        for fd, _ in entries:
            self.pop(fd)
        return [entry.connection for _, entry in entries]

    def pop_victim(self) -> typing.Any:
        """Remove the oldest connection of the address that has the most."""
        # Where all callers share one address, this is the oldest of all.
        return self._pop_first(max(self._idle.values(), key=len, default={}))

    def pop_oldest_head(self) -> typing.Any:
        """Remove the connection whose head began first; None if none."""
        return self._pop_first(self._heads)

    def _pop_first(self, fds: dict[int, None]) -> typing.Any:
        """Remove and return the connection of the first descriptor, if any."""
        if not fds:
            return None
        fd = next(iter(fds))
        connection = self.get(fd)
        self.pop(fd)
        return connection

    def find_late(self, began_before: float) -> list[typing.Any]:
        """Return connections whose heads began before a time."""
        late = []
        for fd in self._heads:
            entry = self._by_fd[fd]
            if typing.cast(float, entry.head_since) > began_before:
                break
            late.append(entry.connection)
        return late

    def find_idle(self, since_before: float) -> list[typing.Any]:
        """Return connections without a head that are idle since a time."""
        idle = []
        for entry in self._by_fd.values():
            if entry.idle_since > since_before:
                break
            if entry.head_since is None:
                idle.append(entry.connection)
        return idle
