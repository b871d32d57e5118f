"""Builds the single-file executable ``dist/lacewinghub`` with shiv.

The packages are copied from the Python environment that runs this script, after a check that their
versions match requirements.txt; nothing is downloaded.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from importlib.metadata import Distribution, PackageNotFoundError, distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "lacewinghub"
ENTRY_POINT = "lacewinghub.__main__:main"
# Compiled packages work with one minor version of Python only.
INTERPRETER = f"/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}"
# Packages that only the plots of ``report --html`` need. They would be 124 of 177 MB of unpacked
# files, which hosts without disks keep in memory.
PLOT_PACKAGES = {
    "contourpy",
    "cycler",
    "fonttools",
    "kiwisolver",
    "matplotlib",
    "numpy",
    "pillow",
    "pyparsing",
    "python-dateutil",
}
IGNORED = shutil.ignore_patterns("__pycache__", "tests", "test")


def locked_versions(text: str) -> list[tuple[str, str]]:
    """Return the names and locked versions of the packages in a requirements file."""
    lines = [line.split("#")[0].strip() for line in text.splitlines()]
    return [
        (name, version) for name, _, version in (line.partition("==") for line in lines if line)
    ]


def installed_package(name: str, version: str) -> Distribution:
    """Return the distribution of an installed package.

    Raises:
        SystemExit: If the package is missing or has another version.
    """
    try:
        found = distribution(name)
    except PackageNotFoundError:
        sys.exit(f"error: {name}=={version} is not installed; run make setup")
    if found.version != version:
        sys.exit(f"error: {name} {found.version} is installed, but {version} is locked")
    return found


def copy_package(package: Distribution, site: Path) -> None:
    """Copy the files of a package, except its scripts, bytecode and tests."""
    for file in package.files or []:
        parts = file.parts
        if parts[0] == ".." or re.search(r"(^|/)(__pycache__|tests?)/", file.as_posix()):
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), target)


def main() -> None:
    """Build the executable; an optional argument is the output path."""
    output = Path(sys.argv[1]) if len(sys.argv) > 1 else OUTPUT
    output.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        build(Path(folder), output)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


def build(site: Path, output: Path) -> None:
    """Collect all packages in a directory and pack them into one file."""
    for name, version in locked_versions((ROOT / "requirements.txt").read_text()):
        if name not in PLOT_PACKAGES:
            copy_package(installed_package(name, version), site)
    shutil.copytree(ROOT / "lacewinghub", site / "lacewinghub", ignore=IGNORED)
    shutil.copytree(ROOT / "examples", site / "lacewinghub" / "examples")
    command = [sys.executable, "-m", "shiv", "--compressed", "--site-packages", str(site)]
    command += ["--python", INTERPRETER, "--entry-point", ENTRY_POINT]
    subprocess.run([*command, "--output-file", str(output)], check=True)


if __name__ == "__main__":
    main()
