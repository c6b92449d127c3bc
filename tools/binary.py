"""Build dist/jacinthfold, one file, and measure it."""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

OUTPUT = Path('dist/jacinthfold')


def build() -> None:
    """Pack the program and its libraries with shiv."""
    OUTPUT.parent.mkdir(exist_ok=True)
    shiv = Path(sys.executable).with_name('shiv')
    command = [str(shiv), '--console-script', 'jacinthfold']
    command += ['--output-file', str(OUTPUT), '--compressed', '--quiet']
    command += ['--python', '/usr/bin/env python3', '--requirement']
    command += ['requirements.txt', '.']
    subprocess.run(command, check=True)


def run_version(unpack_folder: str) -> tuple[float, float]:
    """Start the program once; return seconds on the clock and of processor."""
    began = time.monotonic()
    before = os.times()
    subprocess.run(
        [OUTPUT, 'version'],
        check=True,
        env={**os.environ, 'SHIV_ROOT': unpack_folder},
        stdout=subprocess.DEVNULL,
    )
    after = os.times()
    cpu = after.children_user + after.children_system
    cpu -= before.children_user + before.children_system
    return time.monotonic() - began, cpu


def process_count(unpack_folder: str) -> int:
    """Return how many processes one running stand-in is."""
    command = [OUTPUT, 'standin', 'platform', '--port', '0']
    started = subprocess.Popen(
        command, env={**os.environ, 'SHIV_ROOT': unpack_folder}
    )
    time.sleep(2)
    count = 1 + len(psutil.Process(started.pid).children(recursive=True))
    started.terminate()
    started.wait()
    return count


def main() -> None:
    """Build and print the figures."""
    build()
    # TMPDIR may name a memory file system, which is what hosts unpack to.
    with tempfile.TemporaryDirectory() as folder:
        first = run_version(folder)
        later = [run_version(folder) for _ in range(5)]
        unpacked = sum(
            one.stat().st_size
            for one in Path(folder).rglob('*')
            if one.is_file()
        )
        print(f'size: {OUTPUT.stat().st_size / 1e6:.1f} MB')
        print(f'unpacked: {unpacked / 1e6:.1f} MB')
        print(f'first start: {first[0]:.2f} s, processor {first[1]:.2f} s')
        wall = sorted(one[0] for one in later)[2]
        cpu = sorted(one[1] for one in later)[2]
        print(f'later starts, median of 5: {wall:.2f} s, processor {cpu:.2f} s')
        print(f'processes of one running program: {process_count(folder)}')


if __name__ == '__main__':
    main()
