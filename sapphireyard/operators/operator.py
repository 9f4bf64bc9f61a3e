"""The operators' command line.

Exit status: 0 done, 1 failed, 2 invalid input (every finding is printed),
3 conflict with another change (which is shown), 4 stored, but not in force yet.
"""

import asyncio
import getpass
import os
import sys
import time
from contextlib import asynccontextmanager
from datetime import UTC, datetime
from functools import singledispatch
from pathlib import Path

import aiohttp
import cappa

from sapphireyard.answers import build_connector
from sapphireyard.clocks import Clock
from sapphireyard.configuration.keys import describe_key
from sapphireyard.configuration.manifests import TABLES
from sapphireyard.configuration.tables import build_configuration
from sapphireyard.exceptions import (
    Finding,
    SapphireyardError,
    SettingsError,
    StoreError,
)
from sapphireyard.operators._commands import (
    Apply,
    Diff,
    Drain,
    Explain,
    Get,
    Give,
    History,
    Keys,
    ListKeys,
    Operator,
    Status,
    Trace,
    Withdraw,
)
from sapphireyard.operators._output import (
    JSON,
    TABLE,
    print_changes,
    print_explanation,
    print_json,
    print_rows,
)
from sapphireyard.operators.site import Site, TableConflict
from sapphireyard.operators.traces import parse_line, trace_request
from sapphireyard.storage.objects import ObjectStore

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4

STANDARD_INPUT = "-"
KEY_VARIABLE = "SAPPHIREYARD_KEY"
"""Variable with the operator's key; a flag would be visible to other users."""

REQUEST_TIMEOUT_SECONDS = 10.0
EXPLAINED_FIGURES = ("prompt_tokens", "output_tokens", "kept_tokens", "seconds")


@asynccontextmanager
async def _open_site(options):
    if not options.store:
        raise SettingsError([Finding("--store or SAPPHIREYARD_STORE", "is required")])
    store = ObjectStore(options.store)
    author = options.author or getpass.getuser()
    try:
        yield Site(store, clock=Clock(), author=author)
    finally:
        await store.close()


async def _wait_in_force(site):
    """Wait until the last change is in force; return the exit status."""
    try:
        spread = await site.wait_in_force()
    except StoreError as error:
        _print_error(f"stored, but not known to be in force: {error}")
        return EXIT_NOT_IN_FORCE
    if spread.in_force:
        return EXIT_DONE
    _print_error(
        f"stored, but only {len(spread.readers)} of {len(spread.domains)} failure"
        " domains have read it: in an outage of the store the others go on with the"
        " version before"
    )
    return EXIT_NOT_IN_FORCE


async def _request_entry_host(options, method, path, body=None):
    """Send an operator's request to an entry host and return its JSON response."""
    findings = _check_address(options)
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        findings.append(Finding(KEY_VARIABLE, "an operator's key is required"))
    if findings:
        raise SettingsError(findings)
    headers = {"Authorization": f"Bearer {key}"}
    path = f"admin/v1/{path}"
    async with _send(options, method, path, json=body, headers=headers) as response:
        answer = await response.json(content_type=None)
        if response.status == 200:
            return answer
        raise SapphireyardError(f"{answer.get('code')}: {answer.get('detail')}")


async def _request_administration(options, path, query):
    """Return the JSON answer of a host's administration address."""
    if findings := _check_address(options):
        raise SettingsError(findings)
    async with _send(options, "GET", path, params=query) as response:
        if response.status == 200:
            return await response.json(content_type=None)
        if response.status != 400:
            raise SapphireyardError(f"{options.address} answered {response.status}")
        answer = await response.json(content_type=None)
        raise SettingsError([Finding(answer["code"], answer["detail"])])


def _check_address(options):
    """Return the findings on the address of the host to ask."""
    if options.address:
        return []
    return [Finding("--address or SAPPHIREYARD_ADDRESS", "is required")]


@asynccontextmanager
async def _send(options, method, path, **arguments):
    """Send a request to a host and yield its response."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    url = f"http://{options.address}/{path}"
    connector = build_connector()
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        async with session.request(method, url, **arguments) as response:
            yield response


@singledispatch
async def run_command(command):
    """Run a command and return the exit status."""
    raise TypeError(f"no such command: {command}")


@run_command.register
async def _(command: Apply):
    async with _open_site(command) as site:
        manifest, changes = await site.apply(
            command.files, base_version=command.base_version
        )
        status = await _wait_in_force(site) if changes else EXIT_DONE
    version = manifest.version if manifest is not None else 0
    if command.output == JSON:
        rows = [change.to_json() for change in changes]
        print_json({"version": version, "changes": rows})
        return status
    print_changes(changes, output=TABLE)
    print(f"version {version} is current" if changes else "nothing to change")
    return status


@run_command.register
async def _(command: Diff):
    async with _open_site(command) as site:
        print_changes(await site.plan(command.files), output=command.output)
    return EXIT_DONE


@run_command.register
async def _(command: Get):
    async with _open_site(command) as site:
        _, tables = await site.read()
    names = [name for name in TABLES if command.table in (name, "all")]
    if command.output == JSON:
        shown = [name for name in names if name != "keys" or command.table == "keys"]
        print_json({name: tables[name] for name in shown})
        return EXIT_DONE
    for name in names:
        rows = tables[name]
        print(f"{name} ({len(rows)})")
        columns = sorted({field for row in rows for field in row} - {"name"})
        print_rows(rows, ["name", *columns], output=TABLE)
    return EXIT_DONE


@run_command.register
async def _(command: History):
    async with _open_site(command) as site:
        if command.changes:
            changes = await site.diff_version(command.changes)
            print_changes(changes, output=command.output)
            return EXIT_DONE
        manifests = await site.history(limit=command.limit)
    rows = [
        {
            "version": manifest.version,
            "written": _format_time(manifest.written_at),
            "author": manifest.author,
            "note": manifest.note,
        }
        for manifest in manifests
    ]
    columns = ["version", "written", "author", "note"]
    print_rows(rows, columns, output=command.output)
    return EXIT_DONE


@run_command.register
async def _(command: Keys):
    return await run_command(command.command)


@run_command.register
async def _(command: Give):
    if bool(command.customer) == command.operator:
        finding = Finding("customer", "specify either a customer or --operator")
        raise SettingsError([finding])
    async with _open_site(command) as site:
        key, row = await site.give_key(command.customer, note=command.note)
    given = {"key": key, "name": row["digest"][:12]}
    if command.output == JSON:
        print_json(given)
    else:
        print_rows([given], ["name", "key"], output=TABLE)
    return EXIT_DONE


@run_command.register
async def _(command: Withdraw):
    async with _open_site(command) as site:
        row = await site.withdraw_key(command.name)
        status = await _wait_in_force(site)
    rows = [{"key": row["digest"][:12], "state": row["state"]}]
    print_rows(rows, ["key", "state"], output=command.output)
    return status


@run_command.register
async def _(command: ListKeys):
    async with _open_site(command) as site:
        _, tables = await site.read()
    entries = build_configuration(0, "", {"keys": tables["keys"]}).keys.values()
    columns = ["key", "role", "customer", "state", "note"]
    print_rows(list(map(describe_key, entries)), columns, output=command.output)
    return EXIT_DONE


@run_command.register
async def _(command: Status):
    print_json(await _request_entry_host(command, "GET", "status"))
    return EXIT_DONE


@run_command.register
async def _(command: Explain):
    if not command.path:
        if not command.program:
            raise SettingsError([Finding("program", "specify a program or --path")])
        path = f"explain/{command.program}"
        print_json(await _request_entry_host(command, "GET", path))
        return EXIT_DONE
    fields = ("path", "host", "customer", "program", *EXPLAINED_FIGURES)
    query = {name: str(value) for name in fields if (value := getattr(command, name))}
    explanation = await _request_administration(command, "explain", query)
    if command.output == JSON:
        print_json(explanation)
    else:
        print_explanation(explanation)
    return EXIT_DONE


@run_command.register
async def _(command: Drain):
    state = "active" if command.undo else "leaving"
    async with _open_site(command) as site:
        if await site.set_upstream_state(command.name, state):
            print(f"upstream {command.name} is {state}")
            return EXIT_DONE
    if command.undo:
        finding = Finding("name", f"no upstream is named {command.name!r}")
        raise SettingsError([finding])
    await _request_entry_host(command, "POST", "drain", {"host": command.name})
    print(f"host {command.name} is leaving")
    return EXIT_DONE


@run_command.register
async def _(command: Trace):
    lines = [
        line
        for path in command.files
        for line in map(parse_line, _read_lines(path))
        if line is not None
    ]
    traced = trace_request(lines, command.request, seconds=command.seconds)
    if not traced:
        hosts = len({line.host for line in lines})
        raise SapphireyardError(
            f"no line has request {command.request!r}; read {len(lines)} lines of"
            f" {hosts} hosts"
        )
    if command.output == JSON:
        print_json([{"corrected": at, **line.fields} for at, line in traced])
        return EXIT_DONE
    hidden = {"time", "level", "host", "logger", "message"}
    rows = [
        {
            "time": datetime.fromtimestamp(at, UTC).strftime("%H:%M:%S.%f")[:-3],
            "host": line.host,
            "message": line.fields.get("message"),
            "fields": " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name not in hidden
            ),
        }
        for at, line in traced
    ]
    print_rows(rows, ["time", "host", "message", "fields"], output=TABLE)
    return EXIT_DONE


def _read_lines(path):
    """Return the lines of a log file, or of the standard input."""
    if path == STANDARD_INPUT:
        return sys.stdin.read().splitlines()
    try:
        return Path(path).read_text(errors="replace").splitlines()
    except OSError as error:
        raise SettingsError([Finding(path, error.strerror)]) from error


def _format_time(seconds):
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


def _print_error(text):
    print(f"sapphireyard: {text}", file=sys.stderr)


def run(argv):
    """Run a command line and return the exit status."""
    command = cappa.parse(Operator, argv=argv, completion=False).command
    try:
        return asyncio.run(run_command(command))
    except SettingsError as error:
        for finding in error.findings:
            _print_error(finding)
        return EXIT_INVALID
    except TableConflict as error:
        _print_error(f"conflict: {error}; its changes:")
        for change in error.changes:
            print(change, file=sys.stderr)
        return EXIT_CONFLICT
    except StoreError as error:
        _print_error(f"{error.code}: {error}")
    except (SapphireyardError, aiohttp.ClientError, TimeoutError) as error:
        _print_error(f"failed: {error}")
    return EXIT_FAILED


def main():
    """Entry point of the ``sapphireyard`` binary."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
