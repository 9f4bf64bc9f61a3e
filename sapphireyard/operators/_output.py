"""Prints results of the operators' commands as tables or JSON."""

import json

COLUMN_GAP = "  "
TABLE = "table"
JSON = "json"


def print_json(value):
    """Print plain data as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False, sort_keys=True))


def print_rows(rows, columns, *, output):
    """Print rows as a table with a header, or as a JSON list.

    Parameters
    ----------
    rows : list of dict
        Plain data.
    columns : sequence of str
        Fields shown in the table.
    output : {'table', 'json'}
        Output format.
    """
    if output == JSON:
        print_json(rows)
        return
    lines = [list(columns)]
    lines += [[_format(row.get(column)) for column in columns] for row in rows]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print(COLUMN_GAP.join(cells).rstrip())


def print_changes(changes, *, output):
    """Print the rows that differ between two versions."""
    if output == JSON:
        print_json([change.to_json() for change in changes])
        return
    for change in changes:
        print(change)


def print_explanation(explanation):
    """Print what a host would do with a request, step by step."""
    steps = dict(explanation["steps"])
    upstreams = steps.pop("upstreams", [])
    print(f"{explanation['outcome']}: {explanation['reason']}")
    if explanation["upstream"]:
        print(f"upstream: {explanation['upstream']}")
    if explanation["retry_after"] is not None:
        print(f"retry after: {explanation['retry_after']:.2f} s")
    for name, values in steps.items():
        print(f"{name}: {' '.join(f'{k}={_format(v)}' for k, v in values.items())}")
    if upstreams:
        print_rows(upstreams, list(upstreams[0]), output=TABLE)


def _format(value):
    if value is None:
        return "-"
    if isinstance(value, (dict, list)):
        return json.dumps(value, ensure_ascii=False)
    return str(value)
