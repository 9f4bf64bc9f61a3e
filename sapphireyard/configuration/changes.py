"""Differences between two versions of the configuration tables."""

from dataclasses import dataclass

from sapphireyard.configuration.tables import NAME_FIELDS

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"


@dataclass(frozen=True)
class RowChange:
    """A row that was added, removed or changed.

    Attributes
    ----------
    table, name : str
        Table and name of the row.
    kind : {'added', 'removed', 'changed'}
        Kind of change.
    fields : dict
        Old and new value of each field that differs.
    """

    table: str
    name: str
    kind: str
    fields: dict

    def to_json(self):
        """Return the change as plain data for operators."""
        return {
            "table": self.table,
            "name": self.name,
            "change": self.kind,
            "fields": {
                field: {"old": old, "new": new}
                for field, (old, new) in self.fields.items()
            },
        }

    def __str__(self):
        lines = [f"{self.table} {self.name}: {self.kind}"]
        for field, (old, new) in self.fields.items():
            lines.append(f"  {field}: {old!r} -> {new!r}")
        return "\n".join(lines)


def diff_tables(old, new):
    """Return the list of `RowChange` from `old` to `new`, in a stable order.

    Parameters
    ----------
    old, new : dict
        Lists of rows (plain data) by table.
    """
    changes = []
    for table in sorted({*old, *new}):
        field = NAME_FIELDS.get(table, "name")
        before = {row[field]: row for row in old.get(table, ())}
        after = {row[field]: row for row in new.get(table, ())}
        for name in sorted({*before, *after}):
            change = _diff_row(table, name, before.get(name), after.get(name))
            if change is not None:
                changes.append(change)
    return changes


def _diff_row(table, name, before, after):
    if before == after:
        return None
    if before is None:
        kind = ADDED
    elif after is None:
        kind = REMOVED
    else:
        kind = CHANGED
    old, new = before or {}, after or {}
    fields = {
        field: (old.get(field), new.get(field))
        for field in sorted({*old, *new})
        if old.get(field) != new.get(field)
    }
    return RowChange(table, name, kind, fields)
