"""Test the command line as a user meets it."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NO_LOG = 'http://127.0.0.1:9'


def run(*arguments):
    """Run the command line."""
    return subprocess.run(
        [sys.executable, '-m', 'baobabpond', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


class MainTest(unittest.TestCase):
    """Give help, exit codes and one clear line for each error."""

    def check_error(self, done, code, *words):
        lines = done.stderr.strip().splitlines()
        self.assertEqual(code, done.returncode, done.stderr)
        self.assertEqual(1, len(lines), done.stderr)
        self.assertTrue(lines[0].startswith('baobabpond: '))
        for word in words:
            self.assertIn(word, lines[0])

    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'file.json5'
        path.write_text(text, encoding='utf-8')
        return str(path)

    def test_version(self):
        done = run('version')
        self.assertEqual((0, '0.1.0\n'), (done.returncode, done.stdout))

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
                done = run(*command, '--help')
                self.assertEqual(0, done.returncode)
                self.assertNotIn('Traceback', done.stderr)

    def test_bad_instance_settings(self):
        path = self.write('{http_port: 99999, colour: "red"}')
        done = run('serve', '--config', path)
        self.check_error(done, 2, 'http_port', 'from 1 to 65535', 'colour')

    def test_missing_and_broken_files(self):
        self.check_error(run('serve', '--config', '/no/such'), 2, '/no/such')
        done = run('serve', '--config', self.write('{'))
        self.check_error(done, 2, 'file.json5')

    def test_log_that_does_not_answer(self):
        path = self.write('{root: {timeout_s: 3}}')
        for command in (
            ['settings', 'publish', path],
            ['settings', 'show'],
            ['settings', 'history'],
        ):
            done = run(*command, '--log', NO_LOG)
            self.check_error(done, 3, 'the log cannot be read')

    def test_instance_that_does_not_answer(self):
        self.check_error(run('entries', NO_LOG), 3, NO_LOG)
        self.check_error(run('settings', 'status', NO_LOG), 3, NO_LOG)

    def test_unknown_command(self):
        done = run('no-such-command')
        self.assertEqual(2, done.returncode)
        self.assertNotIn('Traceback', done.stderr)


if __name__ == '__main__':
    unittest.main()
