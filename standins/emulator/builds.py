"""Check out builds of the product from the repository's history."""

import hashlib
import io
import pathlib
import subprocess
import sys
import tarfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Kept between runs; not part of the repository.
BUILDS = ROOT / 'target' / 'builds'
REQUIREMENTS = 'requirements.txt'


class BuildMissing(Exception):
    """Raised when the history does not have a commit."""


class Build(typing.NamedTuple):
    """A version of the product that instances can run."""

    root: pathlib.Path
    # Packages of its own; none if it needs those of this version.
    packages: pathlib.Path | None = None

    @property
    def python_path(self) -> str:
        """Return what its processes have on their module path."""
        folders = [self.root, *filter(None, [self.packages])]
        return ':'.join(str(folder) for folder in folders)


CURRENT = Build(ROOT)


def check_out(commit: str) -> Build:
    """Return the build of a commit; raise BuildMissing.

    A later call finds the same folder.
    """
    root = BUILDS / commit
    if not (root / REQUIREMENTS).exists():
        _extract(commit, root)
    needed = (root / REQUIREMENTS).read_bytes()
    if needed == (ROOT / REQUIREMENTS).read_bytes():
        return Build(root)
    name = hashlib.sha256(needed).hexdigest()[:16]
    packages = BUILDS / f'packages-{name}'
    if not packages.exists():
        _install(root / REQUIREMENTS, packages)
    return Build(root, packages)


def _extract(commit: str, root: pathlib.Path) -> None:
    archive = subprocess.run(
        ['git', 'archive', commit, 'baobabpond', 'platform', REQUIREMENTS],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode != 0:
        raise BuildMissing(archive.stderr.decode().strip())
    root.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(root, filter='data')


def _install(requirements: pathlib.Path, packages: pathlib.Path) -> None:
    subprocess.run(
        [
            sys.executable,
            '-m',
            'pip',
            'install',
            '--quiet',
            '--target',
            str(packages),
            '--requirement',
            str(requirements),
        ],
        check=True,
    )
