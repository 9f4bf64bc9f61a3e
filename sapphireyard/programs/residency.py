"""Tells control processes which programs are active on this host."""

from sapphireyard.storage import generated_control
from sapphireyard.storage.generated_control import LiveAnswer, LiveQuery
from sapphireyard.upstreams.completions import digest_program


class Residency:
    """Answers `LiveQuery`: which of the given programs are active on this host.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        runtime.peers.codec.register_module(generated_control)
        runtime.peers.register(LiveQuery, self._answer)

    async def _answer(self, query, context):
        ownership = self._runtime.ownership
        assignment = ownership.assignment
        version = assignment.version if assignment is not None else 0
        owned = sorted(ownership.owned)
        active = {
            digest_program(program.key)
            for partition in owned
            for program in self._runtime.programs.list_programs(partition)
            if not program.ended and not program.link
        }
        return LiveAnswer(
            live=[digest for digest in query.digests if digest in active],
            complete=all(ownership.is_ready(partition) for partition in owned),
            assignment=version,
        )
