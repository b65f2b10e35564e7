"""Pace of upstreams that are new or that recover.

The package decides which of the upstreams that could take a request now may take it.
An upstream that has just started, restarted, failed or been closed gets few requests
at first, and more as it answers.  There is no ramp by time.

**Input.**  The incarnation of each upstream, the outcomes of this router's own
requests, the requests of the other routers there (unanswered and started, from the
load sums that routers exchange), and the number of routers.

**Rule.**  All routers together keep at most a window of unanswered requests on a paced
upstream, and start at most a window per response time.  Each router takes its share,
the window divided by the number of routers.  The window grows with each answer, of
this router or of others, and is halved by each failure and each slow answer.  The pace
ends when the answers make up a quarter of the upstream's slots.

**Load that it is for.**  One server at a time is released, a quarter of the servers
crashes and returns, or servers are added at peak load, with 6 to 200 routers that each
send only a few requests per second.  The pace only prefers other upstreams: if none of
them has room, or if they are the minority, it holds nothing back.
"""

from shallotpoint.pacing.choice import PacedRequest, UpstreamUse, admissible
from shallotpoint.pacing.pace import Pace, PaceCause
from shallotpoint.pacing.tracker import PaceChange, PaceTracker

__all__ = [
    "Pace",
    "PaceCause",
    "PaceChange",
    "PaceTracker",
    "PacedRequest",
    "UpstreamUse",
    "admissible",
]
