"""Settings from flags and environment variables, validated by a generated model."""

import dataclasses
import sys

import cappa
from cappa.docstring import ClassHelpText
from pydantic import ValidationError

from sapphireyard.exceptions import Finding, SettingsError

ENVIRONMENT_PREFIX = "SAPPHIREYARD_"
INVALID_INPUT = 2
"""Exit status for invalid flags or variables."""


def name_flag(field):
    """Return the flag of a settings field, such as ``--failure-domain``."""
    return "--" + field.replace("_", "-")


def name_variable(field):
    """Return the environment variable of a settings field."""
    return ENVIRONMENT_PREFIX + field.upper()


def build_command(model, *, name, description=""):
    """Return a cappa command with one text flag for each field of `model`.

    Parameters
    ----------
    model : type
        A pydantic model whose fields are plain values.
    name : str
        Name of the program.
    description : str, optional
        Text of the help page; the model's own by default.
    """
    texts = ClassHelpText.collect(model).args
    fields = [
        (field, str | None, dataclasses.field(default=None))
        for field in model.model_fields
    ]
    raw_options = dataclasses.make_dataclass(f"Raw{model.__name__}", fields)
    arguments = [
        cappa.Arg(
            field_name=field,
            long=name_flag(field),
            default=None,
            value_name=field,
            help=_describe_field(field, info, texts.get(field, "")),
            show_default=False,
        )
        for field, info in model.model_fields.items()
    ]
    return cappa.Command(
        raw_options,
        arguments=arguments,
        name=name,
        help=description or model.__doc__,
    )


def parse_settings(model, argv, environ, *, name="sapphireyard", description=""):
    """Return a validated instance of `model`; flags override variables.

    Parameters
    ----------
    model : type
        A pydantic model whose fields are plain values.
    argv : sequence of str
        Arguments without the program's name.
    environ : mapping
        Environment variables.
    name, description : str, optional
        Program name and text of the help page.

    Raises
    ------
    SettingsError
        With all findings; each names the flag or variable.
    SystemExit
        After ``--help``, and with status 2 for an unknown flag.
    """
    command = build_command(model, name=name, description=description)
    raw = cappa.parse(command, argv=list(argv), completion=False)
    values, sources = _merge_sources(model, raw, environ)
    try:
        return model(**values)
    except ValidationError as error:
        raise SettingsError(_list_findings(error, sources)) from None


def load_settings(model, *, argv, environ, name, description=""):
    """Return valid settings, or print all findings and exit with status 2."""
    try:
        return parse_settings(model, argv, environ, name=name, description=description)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{name}: {finding}", file=sys.stderr)
        raise SystemExit(INVALID_INPUT) from None


def _describe_field(field, info, text):
    default = "" if info.is_required() else f" (default: {info.default!r})"
    required = "; required" if info.is_required() else ""
    return f"{text} [{name_variable(field)}{required}]{default}"


def _merge_sources(model, raw, environ):
    values = {}
    sources = {}
    for field in model.model_fields:
        flag = getattr(raw, field)
        variable = environ.get(name_variable(field))
        if flag is not None:
            values[field] = flag
            sources[field] = name_flag(field)
        elif variable is not None:
            values[field] = variable
            sources[field] = name_variable(field)
    return values, sources


def _list_findings(error, sources):
    findings = []
    for entry in error.errors():
        field = str(entry["loc"][0])
        both = f"{name_flag(field)} or {name_variable(field)}"
        findings.append(Finding(sources.get(field, both), entry["msg"]))
    return findings
