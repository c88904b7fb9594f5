/*
 * Model of the configuration versions in force on the daemons, which read them from a service that may be stale.
 *
 * A running daemon never applies an older version. A daemon that starts beside a stale reader serves no version
 * older than the one that a majority served when it started.
 */
module versions

open util/ordering[Version] as order

enum Rule { NeverOlder, AskPeers }

sig Broken in Rule {}

sig Version {}

sig Daemon {
  var inForce: lone Version,
  var heard: set Daemon,
  var atStart: set Version
}

/** Daemons that callers can reach. */
var sig Serving in Daemon {}

pred majority[some_: set Daemon] { #some_ > #(Daemon - some_) }

fun atLeast[v: Version]: set Daemon {
  { d: Serving | some d.inForce and order/gte[d.inForce, v] }
}

pred init {
  inForce = Daemon -> order/first and no heard and Serving = Daemon and no atStart
}

pred stutter { inForce' = inForce and heard' = heard and Serving' = Serving and atStart' = atStart }

/** A daemon reads an arbitrary version from the service or a peer. */
pred read {
  one d: Daemon, v: Version {
    NeverOlder in Broken or no d.inForce or order/gt[v, d.inForce]
    inForce' = inForce ++ d -> v
  }
  heard' = heard and Serving' = Serving and atStart' = atStart
}

pred restart {
  one d: Daemon {
    inForce' = inForce - d -> Version
    heard' = heard - d -> Daemon
    Serving' = Serving - d
    atStart' = atStart ++ d -> { v: Version | majority[atLeast[v]] }
  }
}

/** A starting daemon queries a serving peer and adopts the newer of both versions. */
pred ask {
  some disj d, peer: Daemon {
    d not in Serving and peer in Serving
    heard' = heard + d -> peer
    inForce' = inForce ++ d -> { v: Version |
      v in (d + peer).inForce and (all w: (d + peer).inForce | order/gte[v, w]) }
  }
  Serving' = Serving and atStart' = atStart
}

/** A starting daemon serves once it has answers from a majority. */
pred serve {
  one d: Daemon - Serving {
    some d.inForce
    AskPeers in Broken or majority[d.heard]
    Serving' = Serving + d
  }
  inForce' = inForce and heard' = heard and atStart' = atStart
}

fact trace {
  init
  always (stutter or read or restart or ask or serve)
}

pred neverOlderWhileRunning {
  always all d: Daemon | some d.inForce and some d.inForce' implies order/gte[d.inForce', d.inForce]
}

/** A daemon that starts to serve has at least the version that a majority served when the daemon started. */
pred noUndercut {
  always all d: Daemon, v: d.atStart |
    d in Serving' - Serving implies order/gte[d.inForce, v]
}

runningNeverGoesBack: check { no Broken => neverOlderWhileRunning }
  for exactly 5 Daemon, exactly 3 Version, 4 Int, 1..8 steps expect 0
startingNeverUndercuts: check { no Broken => noUndercut }
  for exactly 5 Daemon, exactly 2 Version, 4 Int, 1..10 steps expect 0
withoutNeverOlder: check { Broken = NeverOlder => neverOlderWhileRunning }
  for exactly 3 Daemon, exactly 2 Version, 4 Int, 1..6 steps expect 1
withoutAskPeers: check { Broken = AskPeers => noUndercut }
  for exactly 3 Daemon, exactly 2 Version, 4 Int, 1..8 steps expect 1
