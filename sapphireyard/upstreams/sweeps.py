"""Detection of engine memory held for programs that are no longer active."""


class MemorySweep:
    """Finds memory held for programs that no host serves any more.

    A program's memory is released once no owner has reported the program as
    active during the grace time, counting only checks in which every owner
    answered. A program that starts or moves meanwhile is seen by one of the
    checks.

    Parameters
    ----------
    grace_seconds : float
        Time between the first check without the program and the release.
    """

    def __init__(self, *, grace_seconds):
        self._grace_seconds = grace_seconds
        self._unused_since = {}

    @property
    def pending_count(self):
        """int: Pairs of upstream and program that wait for their release."""
        return len(self._unused_since)

    def find_releasable(self, held, live, *, is_complete, now):
        """Return the pairs (upstream, digest) to release, sorted.

        Parameters
        ----------
        held : dict
            Digests of programs by upstream, as reported by the engines before
            the owners were asked.
        live : set of str
            Digests of programs that some owner reported as active.
        is_complete : bool
            Whether every owner answered for the same assignment.
        now : float
            Seconds.
        """
        unused = {
            (upstream, digest)
            for upstream, digests in held.items()
            for digest in digests
            if digest not in live
        }
        if not is_complete:
            known = self._unused_since.items()
            self._unused_since = {pair: at for pair, at in known if pair in unused}
            return []
        self._unused_since = {
            pair: self._unused_since.get(pair, now) for pair in sorted(unused)
        }
        return [
            pair
            for pair, since in self._unused_since.items()
            if now - since >= self._grace_seconds
        ]


def merge_answers(answers, assignment):
    """Return the digests of active programs and whether all owners answered.

    Parameters
    ----------
    answers : dict
        `LiveAnswer` by host; None from a host that did not answer.
    assignment : Assignment
        The assignment of partitions for which the owners have to answer.
    """
    live = set()
    is_complete = True
    for host, count in assignment.loads.items():
        answer = answers.get(host)
        if answer is not None:
            live.update(answer.live)
        if count == 0:
            continue
        if answer is None or not answer.complete:
            is_complete = False
        elif answer.assignment != assignment.version:
            is_complete = False
    return live, is_complete
