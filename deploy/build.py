"""
Builds the gateway and its libraries into `target/deps`.

`target/deps` is a link to a folder that holds one whole build and never changes. A
process that starts during a build finds either the earlier build or the new one.
"""

import compileall
import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "bronzebeam"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
TARGET = ROOT / "target"
LINK = TARGET / "deps"
BUILDS = TARGET / "builds"
LIBRARIES = TARGET / "libraries"
LOCK = TARGET / "build.lock"
UNFINISHED_PREFIX = "unfinished-"
# Processes that were started from an earlier build may still load modules of it.
MAX_KEPT = 3
IGNORED = shutil.ignore_patterns("__pycache__")


def interpreter_name() -> str:
    """Return what compiled modules depend on: interpreter, C library and processor."""
    return f"{sys.version} {sysconfig.get_config_var('SOABI')} {os.uname().machine}"


def libraries_key(requirements: bytes, interpreter: str) -> str:
    """Return the name of a folder of installed libraries."""
    return hashlib.sha256(requirements + b"\0" + interpreter.encode()).hexdigest()[:16]


def sources_key(sources: Path, libraries: str) -> str:
    """Return the name of the folder of a build."""
    digest = hashlib.sha256(libraries.encode())
    for path in sorted(sources.rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            digest.update(f"\0{path.relative_to(sources)}\0".encode())
            digest.update(hashlib.sha256(path.read_bytes()).digest())
    return digest.hexdigest()[:16]


def install_libraries(folder: Path) -> None:
    """Install the libraries into a new folder."""
    if not REQUIREMENTS.read_text().strip():
        folder.mkdir()
        return
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(folder)]
    subprocess.run([*command, "-r", str(REQUIREMENTS)], check=True)


def make_build(folder: Path, libraries: Path, sources: Path) -> None:
    """Put libraries and sources together in a new folder."""
    shutil.copytree(libraries, folder, copy_function=os.link)
    sources.rename(folder / "bronzebeam")
    if not compileall.compile_dir(folder / "bronzebeam", quiet=1):
        raise SystemExit("deploy/build.py: the sources can't be compiled")


def replace_link(build: Path) -> None:
    """Let `target/deps` lead to a build, in one step."""
    link = TARGET / "deps.new"
    link.unlink(missing_ok=True)
    link.symlink_to(build.relative_to(TARGET))
    if LINK.is_dir() and not LINK.is_symlink():
        # An earlier version of this script built into a folder of this name.
        with TemporaryDirectory(dir=TARGET, prefix=UNFINISHED_PREFIX) as folder:
            LINK.rename(Path(folder) / LINK.name)
            link.replace(LINK)
        return
    link.replace(LINK)


def remove_unfinished() -> None:
    """Remove what builds that were killed have left."""
    for folder in TARGET.glob(f"{UNFINISHED_PREFIX}*"):
        shutil.rmtree(folder)


def remove_oldest(parent: Path) -> None:
    """Remove all but the folders that were used last."""
    folders = sorted(parent.iterdir(), key=lambda path: path.stat().st_mtime_ns)
    for folder in folders[:-MAX_KEPT]:
        shutil.rmtree(folder)


def main() -> None:
    """Build what `target/deps` leads to, unless it is up to date."""
    BUILDS.mkdir(parents=True, exist_ok=True)
    LIBRARIES.mkdir(exist_ok=True)
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        remove_unfinished()
        libraries = LIBRARIES / libraries_key(
            REQUIREMENTS.read_bytes(), interpreter_name()
        )
        with TemporaryDirectory(dir=TARGET, prefix=UNFINISHED_PREFIX) as folder:
            # The key is that of the copy, since the sources may change meanwhile.
            sources = Path(folder) / "sources"
            shutil.copytree(SOURCES, sources, ignore=IGNORED)
            build = BUILDS / sources_key(sources, libraries.name)
            if not libraries.is_dir():
                install_libraries(Path(folder) / "libraries")
                (Path(folder) / "libraries").rename(libraries)
            if not build.is_dir():
                make_build(Path(folder) / "build", libraries, sources)
                (Path(folder) / "build").rename(build)
        for folder_used in (libraries, build):
            os.utime(folder_used)
        replace_link(build)
        remove_oldest(BUILDS)
        remove_oldest(LIBRARIES)


if __name__ == "__main__":
    main()
