"""Take safeguards out of a copy, one at a time, and see their tests fail.

A proof that passes with its safeguard gone proves nothing. The copy lies in a
temporary folder; the project's own files are not touched.
"""

import json
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tools.ablations.answers import ANSWER_ENDS
from tools.ablations.decisions import DECISIONS
from tools.ablations.fleet import LARGE_FLEETS
from tools.ablations.gateway import GATEWAY_HOSTS
from tools.ablations.leaving import LEAVING, PEER_INPUT
from tools.ablations.model import Ablation
from tools.ablations.organisations import ORGANISATIONS
from tools.ablations.parts import PROMPT_PARTS
from tools.ablations.places import PLACES
from tools.ablations.promises import PROMISES
from tools.ablations.quarantine import QUARANTINE
from tools.ablations.repeats import REPEATS
from tools.ablations.restored import RESTORED
from tools.ablations.serve import SERVE
from tools.ablations.silences import SILENCES
from tools.ablations.streams import STREAMS
from tools.ablations.waiting import WAITING

ROOT = Path(__file__).resolve().parent.parent
COPIED = ('jacinthfold', 'tests', 'tools', 'pyproject.toml', 'KNOWN-RED.txt')

ABLATIONS = [
    *SERVE,
    *GATEWAY_HOSTS,
    *LEAVING,
    *PEER_INPUT,
    *DECISIONS,
    *LARGE_FLEETS,
    *QUARANTINE,
    *ORGANISATIONS,
    *PLACES,
    *WAITING,
    *RESTORED,
    *SILENCES,
    *STREAMS,
    *ANSWER_ENDS,
    *PROMISES,
    *PROMPT_PARTS,
    *REPEATS,
]


def copy_without(ablation: Ablation, folder: Path) -> None:
    """Copy the project with the safeguard taken out."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(
                source,
                folder / name,
                ignore=shutil.ignore_patterns('__pycache__'),
            )
        else:
            shutil.copy(source, folder / name)
    for name, old, new in ablation.edits:
        path = folder / 'jacinthfold' / name
        text = path.read_text()
        if text.count(old) != 1:
            raise SystemExit(f'error: {ablation.promise}: {name} lacks {old!r}')
        path.write_text(text.replace(old, new))


def run(folder: Path, test: str) -> str:
    """Run a test in the copy; return 'passed', 'failed' or what else."""
    done = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '-x', test],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    words = {0: 'passed', 1: 'failed'}
    return words.get(done.returncode, done.stdout[-400:] + done.stderr[-400:])


def main() -> int:
    """Run all ablations whose promise contains the argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    rows = []
    for ablation in ABLATIONS:
        if wanted not in ablation.promise:
            continue
        with tempfile.TemporaryDirectory(prefix='jf-ablation-') as name:
            copy_without(ablation, Path(name))
            began = time.monotonic()
            outcome = run(Path(name), ablation.test)
        seconds = time.monotonic() - began
        rows.append([ablation.promise, ablation.test, outcome])
        print(f'{outcome:8} {seconds:5.1f} s  {ablation.promise}', flush=True)
    survivors = [row for row in rows if row[2] != 'failed']
    out = ROOT / 'bench' / 'out'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'ablations.json').write_text(json.dumps(rows, indent=2))
    failed = len(rows) - len(survivors)
    print(f'{failed} of {len(rows)} tests failed as they should')
    return 1 if survivors else 0


if __name__ == '__main__':
    sys.exit(main())
