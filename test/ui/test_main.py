"""Test the command line in processes of its own."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
UNREACHABLE_URL = 'http://127.0.0.1:9'


def run(*arguments):
    """Run a command and return the completed process."""
    return subprocess.run(
        [sys.executable, '-m', 'baobabpond', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


class MainTest(unittest.TestCase):
    """Check help, exit codes and that an error is one line."""

    def check_error(self, process, code, *texts):
        lines = process.stderr.strip().splitlines()
        self.assertEqual(code, process.returncode, process.stderr)
        self.assertEqual(1, len(lines), process.stderr)
        self.assertTrue(lines[0].startswith('baobabpond: '))
        for text in texts:
            self.assertIn(text, lines[0])

    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'file.json5'
        path.write_text(text, encoding='utf-8')
        return str(path)

    def test_version(self):
        process = run('version')
        self.assertEqual((0, '0.1.0\n'), (process.returncode, process.stdout))

    def test_help_of_each_command(self):
        for command in (
            [],
            ['serve'],
            ['entries'],
            ['version'],
            ['settings'],
            ['settings', 'publish'],
            ['settings', 'show'],
            ['settings', 'history'],
            ['settings', 'status'],
        ):
            with self.subTest(command=command):
                process = run(*command, '--help')
                self.assertEqual(0, process.returncode)
                self.assertNotIn('Traceback', process.stderr)

    def test_invalid_instance_settings(self):
        path = self.write('{http_port: 99999, colour: "red"}')
        process = run('serve', '--config', path)
        self.check_error(process, 2, 'http_port', 'from 1 to 65535', 'colour')

    def test_missing_and_malformed_files(self):
        self.check_error(run('serve', '--config', '/no/such'), 2, '/no/such')
        process = run('serve', '--config', self.write('{'))
        self.check_error(process, 2, 'file.json5')

    def test_unreachable_log(self):
        path = self.write('{root: {timeout_s: 3}}')
        for command in (
            ['settings', 'publish', path],
            ['settings', 'show'],
            ['settings', 'history'],
        ):
            process = run(*command, '--log', UNREACHABLE_URL)
            self.check_error(process, 3, 'the log cannot be read')

    def test_unreachable_instance(self):
        self.check_error(run('entries', UNREACHABLE_URL), 3, UNREACHABLE_URL)
        self.check_error(
            run('settings', 'status', UNREACHABLE_URL), 3, UNREACHABLE_URL
        )

    def test_unknown_command(self):
        process = run('no-such-command')
        self.assertEqual(2, process.returncode)
        self.assertNotIn('Traceback', process.stderr)


if __name__ == '__main__':
    unittest.main()
