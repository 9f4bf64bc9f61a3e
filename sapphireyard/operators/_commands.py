"""The operators' commands with their flags, environment variables and help."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sapphireyard.configuration.manifests import TABLES
from sapphireyard.operators._output import JSON, TABLE

DEFAULT_HISTORY_LIMIT = 20
DEFAULT_TRACE_SECONDS = 2.0


def _option(field, help_text, *, default="", **options):
    """Return a flag whose default comes from an environment variable."""
    variable = f"SAPPHIREYARD_{field.upper()}"
    return cappa.Arg(
        long=True,
        default=cappa.Env(variable, default=default),
        help=f"{help_text} [{variable}]",
        show_default=False,
        **options,
    )


@dataclass(kw_only=True)
class SiteOptions:
    """Flags of all commands."""

    store: Annotated[str, _option("store", "Object store, http://IP:PORT.")]
    address: Annotated[str, _option("address", "Entry host, IP:PORT.")]
    output: Annotated[
        str,
        _option("output", "Output format.", default=TABLE, choices=[TABLE, JSON]),
    ]
    author: Annotated[str, _option("author", "Author recorded in the history.")]


@cappa.command(
    help="Apply tables from YAML or JSON files as one atomic change.",
    epilog="Example: sapphireyard apply routes.yaml pools.yaml --base-version 17",
)
@dataclass(kw_only=True)
class Apply(SiteOptions):
    """Apply tables."""

    files: Annotated[
        list[str], cappa.Arg(help="Files; each table in them is replaced as a whole.")
    ]
    base_version: Annotated[
        int, cappa.Arg(long=True, help="Fail if another version is current.")
    ] = 0


@cappa.command(
    help="Show what applying files would change.",
    epilog="Example: sapphireyard diff tables.yaml --output json",
)
@dataclass(kw_only=True)
class Diff(SiteOptions):
    """Show what files would change."""

    files: Annotated[list[str], cappa.Arg(help="Files to compare.")]


@cappa.command(
    help="Show the current tables; the JSON output can be applied again.",
    epilog="Example: sapphireyard get routes --output json > routes.json",
)
@dataclass(kw_only=True)
class Get(SiteOptions):
    """Show tables."""

    table: Annotated[
        str, cappa.Arg(choices=[*TABLES, "all"], help="Table to show.")
    ] = "all"


@cappa.command(
    help="Show the latest versions with their authors, or what one changed.",
    epilog="Example: sapphireyard history --changes 41",
)
@dataclass(kw_only=True)
class History(SiteOptions):
    """Show versions."""

    limit: Annotated[int, cappa.Arg(long=True, help="Versions to show.")] = (
        DEFAULT_HISTORY_LIMIT
    )
    changes: Annotated[
        int, cappa.Arg(long=True, help="Show the changes of this version instead.")
    ] = 0


@cappa.command(
    help="Issue a key; it is shown only once.",
    epilog="Example: sapphireyard keys give hatua-east --note 'field office'",
)
@dataclass(kw_only=True)
class Give(SiteOptions):
    """Issue a key."""

    customer: Annotated[str, cappa.Arg(help="Customer; omit with --operator.")] = ""
    operator: Annotated[bool, cappa.Arg(long=True, help="Issue an operator's key.")] = (
        False
    )
    note: Annotated[str, cappa.Arg(long=True, help="Note stored with the key.")] = ""


@cappa.command(
    help="Withdraw a key by the name that `keys list` shows.",
    epilog="Example: sapphireyard keys withdraw 3f9a02c1d4e5",
)
@dataclass(kw_only=True)
class Withdraw(SiteOptions):
    """Withdraw a key."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]


@cappa.command(name="list", help="List the keys; only their digests are stored.")
@dataclass(kw_only=True)
class ListKeys(SiteOptions):
    """List keys."""


@cappa.command(help="Issue, withdraw and list keys.")
@dataclass
class Keys:
    """Commands for keys."""

    command: cappa.Subcommands[Give | Withdraw | ListKeys]


@cappa.command(
    help="Show the state of an entry host and its view of the site.",
    epilog="Example: SAPPHIREYARD_KEY=... sapphireyard status --address 10.0.0.1:8000",
)
@dataclass(kw_only=True)
class Status(SiteOptions):
    """Show the state of a host."""


@cappa.command(
    help=(
        "Show the owner of a program and the latest decisions about it, or, with"
        " --path, where a request would go now and why, without sending it."
    ),
    epilog=(
        "Examples: sapphireyard explain hatua-east/move-1881;"
        " sapphireyard explain --address 10.0.0.1:9464 --host site.example"
        " --path /chat/1 --customer hatua-east --prompt-tokens 900"
    ),
)
@dataclass(kw_only=True)
class Explain(SiteOptions):
    """Explain decisions."""

    program: Annotated[
        str, cappa.Arg(help="CUSTOMER/PROGRAM, or with --path a program's name.")
    ] = ""
    path: Annotated[str, cappa.Arg(long=True, help="Path of the request.")] = ""
    host: Annotated[str, cappa.Arg(long=True, help="Host name of the request.")] = ""
    customer: Annotated[
        str, cappa.Arg(long=True, help="Customer; omit on public routes.")
    ] = ""
    prompt_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of the prompt.")
    ] = 0
    output_tokens: Annotated[
        int, cappa.Arg(long=True, help="Most tokens to generate.")
    ] = 0
    kept_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of the program's history.")
    ] = 0
    seconds: Annotated[
        float,
        cappa.Arg(long=True, help="Time for which the caller waits; by default 3 s."),
    ] = 0.0


@cappa.command(
    help="Drain an upstream or an entry host without interrupting requests.",
    epilog="Example: sapphireyard drain engine-3",
)
@dataclass(kw_only=True)
class Drain(SiteOptions):
    """Drain a host or an upstream."""

    name: Annotated[str, cappa.Arg(help="Name of the upstream or entry host.")]
    undo: Annotated[
        bool, cappa.Arg(long=True, help="Return a leaving upstream to service.")
    ] = False


@cappa.command(
    help="Merge the logs of many hosts around one request.",
    epilog="Example: sapphireyard trace 44c92659f35df209 logs/*.json",
)
@dataclass(kw_only=True)
class Trace(SiteOptions):
    """Trace a request."""

    request: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[
        list[str], cappa.Arg(help="Log files of hosts; - for standard input.")
    ]
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Time shown before and after the request.")
    ] = DEFAULT_TRACE_SECONDS


@cappa.command(
    name="sapphireyard",
    help="Operate a sapphireyard site.",
    epilog="Exit status: 0 done, 1 failed, 2 invalid input, 3 conflict.",
)
@dataclass
class Operator:
    """The command line."""

    command: cappa.Subcommands[
        Apply | Diff | Get | History | Keys | Status | Explain | Drain | Trace
    ]
