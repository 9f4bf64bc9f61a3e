"""Generates ``generated_*.py`` from the files in ``schema`` and ``platform/schema``.

``--check`` compares the committed code with the schema and writes nothing.
"""

import argparse
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
PACKAGE = ROOT / "sapphireyard"
PLATFORM_SCHEMA = ROOT / "platform" / "schema"
PLATFORM_PACKAGE = ROOT / "platform" / "adapter"
PLATFORM_BASE_CLASS = "adapter.models.PlatformModel"
VALIDATED_SCHEMAS = {
    "settings",
    "tables",
    "api",
    "control_settings",
    "archive_settings",
    "explanations",
}
"""Schemas of data from people or callers; they become validating models."""

OPEN_SCHEMAS = {"api"}
"""Validated schemas whose data may have further fields, which are passed on."""


def list_modules():
    """Return the path of each schema and of the module generated from it.

    An existing module keeps its place in a subpackage; a new one goes to the top.
    """
    pairs = []
    for schema, package in ((SCHEMA, PACKAGE), (PLATFORM_SCHEMA, PLATFORM_PACKAGE)):
        for source in sorted(schema.glob("*.yaml")):
            name = f"generated_{source.stem}.py"
            existing = sorted(package.rglob(name))
            pairs.append((source, existing[0] if existing else package / name))
    return pairs


def generate_module(source, target):
    """Write the module generated from `source` to `target`.

    All data that the platform sends is validated and may have unknown fields.
    """
    from_platform = source.parent == PLATFORM_SCHEMA
    validated = from_platform or source.stem in VALIDATED_SCHEMAS
    model_type = "pydantic_v2.BaseModel" if validated else "dataclasses.dataclass"
    command = [
        sys.executable,
        "-m",
        "datamodel_code_generator",
        "--input",
        str(source),
        "--input-file-type",
        "jsonschema",
        "--output",
        str(target),
        "--output-model-type",
        model_type,
        "--target-python-version",
        "3.11",
        "--use-standard-collections",
        "--use-union-operator",
        "--use-schema-description",
        "--use-field-description",
        "--disable-timestamp",
        "--enum-field-as-literal",
        "all",
        "--use-default",
        "--strict-nullable",
        "--formatters",
        "black",
        "isort",
    ]
    if validated:
        extra = "ignore" if from_platform or source.stem in OPEN_SCHEMAS else "forbid"
        command += ["--extra-fields", extra, "--field-constraints"]
    if from_platform:
        command += ["--base-class", PLATFORM_BASE_CLASS]
    subprocess.run(command, check=True, cwd=ROOT)


def find_stale(directory):
    """Return the names of committed modules that differ from the schema."""
    stale = []
    for source, committed in list_modules():
        fresh = Path(directory) / committed.name
        generate_module(source, fresh)
        if not committed.exists() or committed.read_text() != fresh.read_text():
            stale.append(committed.name)
    return stale


def main():
    """Generate or check every module; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    if not options.check:
        for source, target in list_modules():
            generate_module(source, target)
        return 0
    with tempfile.TemporaryDirectory() as directory:
        stale = find_stale(directory)
    for name in stale:
        print(f"{name}: differs from its schema; run `make generate`")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
