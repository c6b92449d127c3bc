"""Print tables and write JSON into the output folder."""

import json
from pathlib import Path
from typing import Any

OUT = Path('bench/out')


def shown(value: Any) -> str:
    return f'{value:.3g}' if isinstance(value, float) else str(value)


def table(rows: list[dict[str, Any]]) -> None:
    titles = list(dict.fromkeys(name for row in rows for name in row))
    lines = [titles]
    lines += [[shown(row.get(name, '-')) for name in titles] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        print('  '.join(cell.rjust(width) for cell, width in cells))


def save(name: str, document: Any) -> Path:
    OUT.mkdir(parents=True, exist_ok=True)
    path = OUT / f'{name}.json'
    path.write_text(json.dumps(document, indent=2))
    print(f'written: {path}')
    return path
