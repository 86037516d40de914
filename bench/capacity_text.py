"""Texts of docs/CAPACITY.md: its first section, and the properties that one machine can't show."""

from __future__ import annotations

from bench.capacity_rows import Unknown

HEAD = """
# Room for 760 routers at 43 sites

```sh
python -m bench.capacity                  # writes this page from bench/data; a test compares the two
python -m bench.capacity --measure keys   # one measurement anew; --list names them
```

The size: 760 routers at 43 sites in 25 zones and 8 regions, 96 cache servers, 710,000 requests and 2.6 Tbit
a second at the peak; a router has 934 requests and 3.4 Gbit a second, 458 KB a request in the mean (KB, MB:
powers of ten). 2.7 billion objects; 13 purges a second, each done everywhere within 5.3 s; 850 changes of
configuration a day, in force within 5 s; for control 2.2 % of a core, 32 MB and 2,000 bytes a second of a
router, and 4 machines. 5 machines fail a day and 60 are restarted or replaced.

| word | what it means |
| --- | --- |
| at the size | the mean of the readings at that very size, where there are any; else what the line says |
| line, 95 % | the fitted line at the size, with the interval of its mean |
| need | the operators' letter, our own aim (ours), or a limit of the program |
| gap | by what factor the need is missed: need over what there is, or what it takes over what is allowed |
| slope | of the fitted line, with its 95 % interval (Student's t, all readings) |
| largest residual | of all readings, in the unit of the series |
| stretched | the size over the largest that was measured; 1: it was measured |
| pace | processor time of a fixed loop right after the run: a busy machine makes all processor times longer |

*on* under "The runs" is the commit that last changed the program. Files are under `holdgw/`. Processor
times were read on a machine shared with other work and are not corrected: where *pace* is twice that of
another run, so are they, about.
"""

UNKNOWNS = (
    Unknown(
        "U1",
        "Lines between sites: delay, loss, what they carry",
        "all is loopback; delays and 1 % of loss are set",
        "`lb_peers` and `lb_peers_dropped` by site for a week; the time of an ack by pair of sites",
    ),
    Unknown(
        "U2",
        "Network cards, interrupts, the kernel at 3.4 Gbit/s each way",
        "loopback copies in memory: no card, no segments, no TLS",
        "one router in service at a tenth, a third and all of its share: cores by Gbit/s against P5",
    ),
    Unknown(
        "U3",
        "What cache servers bear: connections, handshakes, bytes",
        "stand-ins answer at once and are not the server's program",
        "connections and accept queue of one server while 1, 10 and 30 routers restart, against S3 to S8",
    ),
    Unknown(
        "U4",
        "What a call costs the list service",
        "it is a stand-in here",
        "its processor time and slowest call by routers that watch, while the fleet grows, against L1 and L2",
    ),
    Unknown(
        "U5",
        "760 processes at once, with clients",
        "8 cores carry some 200 real routers at a low rate",
        "`bench.scale` up to the machine's limit; then each site that is added is held against the lines",
    ),
    Unknown(
        "U6",
        "Real popularity of 2.7 billion objects, its changes, lengths of values",
        "drawn by Zipf's law, exponent 0.9; one length at a time",
        "hits, `lb_picture` and fetches by site for a day; the share of values over 64 KiB",
    ),
    Unknown(
        "U7",
        "Failures that come together, clocks that jump, switches that lose a part of datagrams",
        "each failure is played alone, with independent loss",
        "drills: a site, then a zone, by the operators' word, against the rows F",
    ),
    Unknown(
        "U8",
        "Memory over weeks",
        "runs last seconds to minutes",
        "resident memory of ten routers by day, against P6 to P21 and C13",
    ),
    Unknown(
        "U9",
        "Processor times on the service's machines, with nothing beside",
        "8 shared, busy cores of another kind: see pace",
        "`--measure requests`, `view` and `aggregation` on one idle machine of the service",
    ),
)
