"""Register implementations by name with a decorator."""

import collections.abc
import typing

from . import errors

T = typing.TypeVar('T')


class Registry(typing.Generic[T]):
    """Map names to implementations of one kind."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Return a decorator that registers its argument under a name."""

        def decorate(entry: T) -> T:
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the implementation of a name; raise UserError."""
        try:
            return self._entries[name]
        except KeyError:
            known = ', '.join(self.names)
            raise errors.UserError(
                f'unknown {self._kind} {name!r}; known: {known}'
            ) from None
