"""Send hostile input to one instance with low limits, one kind at a time.

Guards against clients that make an instance exit, hang, run out of memory or
descriptors, or leave no thread for ordinary callers. Times and shares of
served requests depend on the machine and are not checked.
"""

import collections.abc
import contextlib
import pathlib
import subprocess
import sys
import threading

from standins.emulator import deployment as deployment_module
from test.emulator import one_instance

MAX_DESCRIPTORS = 400
# Of the descriptors, these stay free for files and for upstreams.
FREE_DESCRIPTORS = 40
SAMPLE_S = 0.05


class DescriptorWatch:
    """Sample the number of open descriptors of a process."""

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f'/proc/{pid}/fd')
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak = 0

    def __enter__(self) -> 'DescriptorWatch':
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_S):
            with contextlib.suppress(OSError):
                count = sum(1 for _ in self._folder.iterdir())
                self.peak = max(self.peak, count)


class UntrustedClientsTest(one_instance.OneInstanceTestCase):
    """Twelve clients that each send the same kind of input."""

    PLAIN_SERVICES = 1

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Lower the limits of the instance."""
        super().prepare(deployment)
        deployment.max_descriptors = MAX_DESCRIPTORS

    @contextlib.contextmanager
    def crowd(self, kind: str, address: str) -> collections.abc.Iterator[None]:
        """Run a crowd; return once it has done its worst, or settled."""
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'standins.emulator.crowd',
                address,
                kind,
            ],
            stdout=subprocess.PIPE,
        )
        try:
            with process.stdout:
                self.assertEqual(b'settled\n', process.stdout.readline())
                yield
        finally:
            process.kill()
            process.wait()

    def wait_ready(self) -> None:
        """Wait until the readiness check is answered."""
        [instance] = self.deployment.instances
        deployment_module.wait_for(
            lambda: self.deployment.is_ready(instance),
            one_instance.ORDINARY_S,
        )

    def check(self, kind: str, address: str = '') -> None:
        """Check the instance beside and after a crowd of a kind.

        It attacks the listener of callers unless another one is named.
        """
        [instance] = self.deployment.instances
        address = address or instance.address
        with DescriptorWatch(instance.process.pid) as descriptors:
            with self.crowd(kind, address):
                self.assertIsNone(instance.process.poll(), 'it has exited')
                # The crowd has sent what it sends, and stays connected.
                served = self.send_ordinary(f'{kind}-beside')
                self.wait_ready()
            served_after = self.send_ordinary(f'{kind}-after')
        self.check_alive()
        self.assertLessEqual(
            descriptors.peak,
            MAX_DESCRIPTORS - FREE_DESCRIPTORS,
            'descriptors',
        )
        self.assertEqual((200, 200), (served, served_after), 'ordinary')

    def test_trailer_line(self) -> None:
        """One trailer line without an end."""
        self.check('trailer_line')

    def test_trailer_lines(self) -> None:
        """Trailer lines without end."""
        self.check('trailer_lines')

    def test_chunk_extension(self) -> None:
        """The extension of a chunk without an end."""
        self.check('chunk_extension')

    def test_chunk_size(self) -> None:
        """The digits of the size of a chunk without an end."""
        self.check('chunk_size')

    def test_small_chunks(self) -> None:
        """Chunks of one byte."""
        self.check('small_chunks')

    def test_endless_body(self) -> None:
        """A body in chunks without end."""
        self.check('endless_body')

    def test_header_lines(self) -> None:
        """Header lines without end."""
        self.check('header_lines')

    def test_header_line(self) -> None:
        """One header line without an end."""
        self.check('header_line')

    def test_request_line(self) -> None:
        """A request line without an end."""
        self.check('request_line')

    def test_pipelined(self) -> None:
        """Requests without a pause, whose responses nobody reads."""
        self.check('pipelined')

    def test_slow_head(self) -> None:
        """Heads of which a byte arrives now and then."""
        self.check('slow_head')

    def test_slow_body(self) -> None:
        """Bodies of which a byte arrives now and then."""
        self.check('slow_body')

    def test_slow_chunks(self) -> None:
        """Bodies of which a chunk of a byte arrives now and then."""
        self.check('slow_chunks')

    def test_unread_response(self) -> None:
        """Large responses of which nothing is read."""
        self.check('unread_response')

    def test_slowly_read_response(self) -> None:
        """Large responses that are read at a byte a second."""
        self.check('slowly_read_response')

    def test_unread_stream(self) -> None:
        """Streams without end of which nothing is read."""
        self.deployment.samplers[0].fault = 'flood'
        self.check('unread_stream')

    def test_slowly_read_stream(self) -> None:
        """Streams without end that are read at a byte a second."""
        self.deployment.samplers[0].fault = 'flood'
        self.check('slowly_read_stream')

    def test_tiny_items(self) -> None:
        """Batches that take a multiple of their size when decoded."""
        self.check('tiny_items')

    def test_many_headers(self) -> None:
        """Batches that fit alone, and together take too much memory."""
        self.check('many_headers')

    def test_nested_values(self) -> None:
        """JSON that takes a multiple of its size and is no batch."""
        self.check('nested_values')

    def test_idle(self) -> None:
        """More connections than the descriptors that there are."""
        self.check('idle')

    def test_slow_head_at_readiness(self) -> None:
        """Heads that take up the threads of the readiness check."""
        [instance] = self.deployment.instances
        self.check('slow_head', instance.ready_address)

    def test_trailer_line_between_instances(self) -> None:
        """A trailer line without an end, at the listener for instances."""
        [instance] = self.deployment.instances
        self.check('trailer_line', instance.relay_address)
