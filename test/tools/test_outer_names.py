"""Check that names that leave the process still occur in the source."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NAMES = ROOT / 'tools' / 'outer_names.txt'
FOLDERS = (
    'baobabpond',
    'deploy',
    'measure',
    'platform',
    'scenarios',
    'standins',
    'tools',
)
SUFFIXES = ('.py', '.json', '.json5', '.thrift', '.toml')


def _source() -> str:
    """Return the paths and texts of all source files as one text."""
    paths = [ROOT / 'run']
    for folder in FOLDERS:
        paths += [
            path
            for path in sorted((ROOT / folder).rglob('*'))
            if path.suffix in SUFFIXES and 'gen' not in path.parts
        ]
    return '\n'.join(
        f'{path.name}\n{path.read_text(encoding="utf-8")}' for path in paths
    )


def _missing(names: list[str], source: str) -> list[str]:
    """Return the names that do not occur as whole words."""
    return [
        name
        for name in names
        # A pattern that begins with the name itself is searched for fast.
        if not re.search(
            rf'{re.escape(name)}(?!\w)(?<!\w{re.escape(name)})', source
        )
    ]


class OuterNamesTest(unittest.TestCase):
    """Guard against a rename that changes messages, settings or records."""

    def test_each_name_of_the_list_occurs(self) -> None:
        names = NAMES.read_text(encoding='utf-8').splitlines()
        self.assertGreater(len(names), 0)
        self.assertEqual([], _missing(names, _source()))

    def test_a_renamed_name_is_noticed(self) -> None:
        source = "LOG.info('request ended', took_s=took_s)"
        self.assertEqual(
            ['took'], _missing(['request ended', 'took_s', 'took'], source)
        )


if __name__ == '__main__':
    unittest.main()
