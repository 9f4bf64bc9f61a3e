"""Loads tables from YAML and JSON files with the location of each row."""

from pathlib import Path

import yaml

from sapphireyard.configuration.tables import ROW_MODELS, TableRow
from sapphireyard.exceptions import Finding


def load_files(paths):
    """Load files and return their rows, tables and findings.

    Parameters
    ----------
    paths : sequence of str or Path
        YAML files; JSON is read as YAML.

    Returns
    -------
    rows : list of TableRow
        All rows, valid or not.
    tables : set of str
        Tables that occur in the files, including empty ones.
    findings : list of Finding
        Errors in the files' structure; `check_rows` validates the rows.
    """
    rows, tables, findings = [], set(), []
    for path in paths:
        file_rows, file_tables, file_findings = _load_file(str(path))
        rows += file_rows
        tables |= file_tables
        findings += file_findings
    return rows, tables, findings


def _load_file(path):
    try:
        text = Path(path).read_text(encoding="utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError) as error:
        return [], set(), [Finding(path, str(error))]
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"{path}:{mark.line + 1}" if mark else path
        return [], set(), [Finding(place, getattr(error, "problem", str(error)))]
    if not isinstance(data, dict):
        return [], set(), [Finding(path, "contains no tables")]
    findings = _find_repeated_keys(path, root)
    rows = []
    tables = set()
    for key_node, value_node in root.value:
        table = key_node.value
        place = f"{path}:{key_node.start_mark.line + 1}"
        if table not in ROW_MODELS:
            known = ", ".join(ROW_MODELS)
            findings.append(Finding(place, f"{table!r} is not a table; known: {known}"))
        elif not isinstance(data[table], list):
            findings.append(Finding(place, f"{table} must be a list of rows"))
        else:
            tables.add(table)
            rows += _locate_rows(path, table, data[table], value_node)
    return rows, tables, findings


def _locate_rows(path, table, values, node):
    rows = []
    for index, (value, row_node) in enumerate(zip(values, node.value, strict=True)):
        line = row_node.start_mark.line + 1
        name = value.get("name") if isinstance(value, dict) else None
        label = f" {name!r}" if isinstance(name, str) else ""
        rows.append(TableRow(table, value, f"{path}:{line} {table}[{index}]{label}"))
    return rows


def _find_repeated_keys(path, node):
    findings = []
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            if key.value in seen:
                place = f"{path}:{key.start_mark.line + 1}"
                findings.append(Finding(place, f"duplicate key {key.value!r}"))
            seen.add(key.value)
            findings += _find_repeated_keys(path, value)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            findings += _find_repeated_keys(path, value)
    return findings
