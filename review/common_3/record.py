"""Write down what was sent, answered and run."""

import pathlib
import threading
import time
import typing


class Record:
    """Append lines to record.txt in the folder of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def note(self, what: str, **fields: typing.Any) -> None:
        """Write a line with the seconds since the start."""
        after_s = time.monotonic() - self._started_at
        texts = [f'{name}={value}' for name, value in fields.items()]
        line = ' '.join([f'{after_s:8.3f}', what, *texts])
        with self._lock:
            if not self._file.closed:
                self._file.write(f'{line}\n')
                self._file.flush()

    def say(self, what: str, **fields: typing.Any) -> None:
        """Write a line, and print it."""
        self.note(what, **fields)
        print(what, *[f'{name}={value}' for name, value in fields.items()])

    def close(self) -> None:
        """Write nothing more."""
        with self._lock:
            self._file.close()
