/*
 * Model of the claim on one key, which the voter groups of successive VM lists grant.
 *
 * Groups have up to three members and the quorum is two in every list, or up to five members and the
 * quorum is three. Voters restart without their volatile state, possibly with an older list; claimants
 * and voters collect answers one by one. A lost message is one that its receiver never counts; a late one is counted in a later step.
 */
module claim

open util/ordering[Version] as versions

/** Rules of the protocol; a broken variant omits the ones in Broken. */
enum Rule { VoteOnce, QuietPeriod, NextList, CurrentAnswer, LearnFromQuorum, FixedQuorum, OneList, Release }

sig Broken in Rule {}

sig Claimant {
  var collected: Node -> Version
}

var sig Ran in Claimant {}

sig Version {
  group: set Node
}

sig Node {
  var votes: set Claimant,
  var givenUp: set Claimant,
  var adopted: one Version,
  var informed: set Version,
  var heard: Version -> Node
}

/** Present if the quorum is three. */
lone sig Five {}

/** Restarted voters whose votes from before the restart a claimant may still count. */
var sig Quiet in Node {}

/** The parameters of the step. */
var sig Actors in Node {}
var lone sig Asker in Claimant {}
var lone sig Learner in Node {}

pred quorum[voters: set Node, v: Version] {
  FixedQuorum not in Broken implies #(voters & v.group) >= (some Five => 3 else 2)
  FixedQuorum in Broken implies #(voters & v.group) > #(v.group - voters)
}

pred sameVotes { votes' = votes and collected' = collected and givenUp' = givenUp }
pred sameKnowledge { informed' = informed and heard' = heard }

pred init {
  no votes and no givenUp and no collected and no heard and no Quiet and no Ran
  adopted = Node -> versions/first
  informed = versions/first.group -> versions/first
}

pred stutter {
  sameVotes and sameKnowledge and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** Informed voters grant a claimant's request unless they have voted for another claimant. */
pred vote {
  some Actors and one Asker
  all n: Actors {
    n.adopted in n.informed
    n in n.adopted.group
    VoteOnce in Broken or n.votes in Asker
  }
  votes' = votes + Actors -> Asker
  givenUp' = givenUp - Actors -> Asker
  collected' = collected + (Asker -> (Actors <: adopted))
  sameKnowledge and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** Voters adopt a newer list; a member of both groups stays informed if no list was skipped. */
pred adopt {
  some Actors
  all n: Node - Actors | n.adopted' = n.adopted
  all n: Actors | versions/gt[n.adopted', n.adopted]
  informed' = informed + { n: Actors, v: Version {
    v = n.adopted' and n in v.group and n.adopted in n.informed
    NextList in Broken or n.adopted = v.versions/prev
  } }
  heard' = heard and sameVotes and Ran' = Ran and Quiet' = Quiet
}

/** Informed members of the current group send their votes to a member that is new or has restarted. */
pred answer {
  some Actors and one Learner and Learner not in Actors
  let v = Learner.adopted {
    v not in Learner.informed and Learner in v.group
    QuietPeriod in Broken or Learner not in Quiet
    all m: Actors {
      m in v.group and v in m.informed
      CurrentAnswer in Broken or m.adopted = v
    }
    heard' = heard + Learner -> v -> Actors
  }
  informed' = informed
  votes' = votes + Learner -> Actors.votes
  givenUp' = givenUp - Learner -> Actors.votes
  collected' = collected and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** A voter becomes informed after answers from a quorum of its group. */
pred becomeInformed {
  one Learner
  let v = Learner.adopted {
    v not in Learner.informed and Learner in v.group
    LearnFromQuorum in Broken implies some v.(Learner.heard) else quorum[v.(Learner.heard), v]
    informed' = informed + Learner -> v
  }
  heard' = heard
  sameVotes and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** Voters restart without their volatile state and read any list, possibly an older one. */
pred restart {
  some Actors
  votes' = votes - Actors -> Claimant
  givenUp' = givenUp - Actors -> Claimant
  collected' = collected
  all n: Node - Actors | n.adopted' = n.adopted
  informed' = informed - Actors -> Version
  heard' = heard - Actors -> Version -> Node
  Quiet' = Quiet + Actors
  Ran' = Ran
}

/** The quiet period ends: every attempt that collects answers from before the restart has timed out. */
pred endQuiet {
  some Actors and Actors in Quiet
  Quiet' = Quiet - Actors
  collected' = collected - Claimant -> Actors -> Version
  heard' = heard - Node -> Version -> Actors
  informed' = informed and votes' = votes and givenUp' = givenUp
  adopted' = adopted and Ran' = Ran
}

/** A claimant abandons its attempt; votes that it receives from now on belong to its next attempt. */
pred giveUp {
  one Asker and Asker not in Ran
  collected' = (Release in Broken => collected else collected - Asker -> Node -> Version)
  givenUp' = givenUp + (votes :> Asker)
  votes' = votes and sameKnowledge and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** Voters remove a vote of an attempt that its claimant has abandoned. */
pred release {
  some Actors and one Asker and Actors in givenUp.Asker
  votes' = votes - Actors -> Asker
  givenUp' = givenUp - Actors -> Asker
  collected' = collected
  sameKnowledge and adopted' = adopted and Ran' = Ran and Quiet' = Quiet
}

/** A claimant that has votes from a quorum of one list runs. */
pred run_ {
  one Asker and Asker not in Ran
  OneList not in Broken implies (some v: Version | quorum[Asker.collected.v, v])
  OneList in Broken implies #(Asker.collected.Version) >= (some Five => 3 else 2)
  Ran' = Ran + Asker
  sameVotes and sameKnowledge and adopted' = adopted and Quiet' = Quiet
}

fact trace {
  init
  always (stutter or vote or adopt or answer or becomeInformed or restart or endQuiet or run_
    or giveUp or release)
}

fact groups {
  no Five implies (all v: Version | #v.group =< 3) else (all v: Version | #v.group =< 5)
}

pred oneRun { always lone Ran }

restarts: check { (no Broken and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 1 Version, 4 Int, 1..11 steps expect 0
twoLists: check { (no Broken and no Five) => oneRun }
  for exactly 4 Node, exactly 2 Claimant, exactly 2 Version, 4 Int, 1..9 steps expect 0
threeLists: check { (no Broken and no Five) => oneRun }
  for exactly 4 Node, exactly 2 Claimant, exactly 3 Version, 4 Int, 1..8 steps expect 0
fiveVoters: check { (no Broken and some Five) => oneRun }
  for exactly 6 Node, exactly 2 Claimant, exactly 2 Version, 5 Int, 1..7 steps expect 0

/* Broken variants. A given sequence fixes the kinds of the steps, not the nodes that take them. */
withoutVoteOnce: check { (Broken = VoteOnce and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 1 Version, 4 Int, 1..8 steps expect 1
withoutQuietPeriod: check { (Broken = QuietPeriod and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 1 Version, 4 Int, 1..9 steps expect 1
withoutLearnFromQuorum: check { (Broken = LearnFromQuorum and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 1 Version, 4 Int, 1..10 steps expect 1
withoutFixedQuorum: check { (Broken = FixedQuorum and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 2 Version, 4 Int, 1..8 steps expect 1
withoutOneList: check { (Broken = OneList and no Five) => oneRun }
  for exactly 5 Node, exactly 2 Claimant, exactly 2 Version, 4 Int, 1..9 steps expect 1
withoutNextList: check {
  (Broken = NextList and no Five and (adopt; answer; becomeInformed; vote; run_; adopt; vote; run_)) => oneRun
} for exactly 4 Node, exactly 2 Claimant, exactly 3 Version, 4 Int, 10 steps expect 1
withoutRelease: check { (Broken = Release and no Five) => oneRun }
  for exactly 3 Node, exactly 2 Claimant, exactly 1 Version, 4 Int, 1..8 steps expect 1
withoutCurrentAnswer: check {
  (Broken = CurrentAnswer and no Five and (adopt; answer; becomeInformed; restart; endQuiet; answer;
    becomeInformed; restart; endQuiet; answer; becomeInformed; vote; run_; vote; run_)) => oneRun
} for exactly 4 Node, exactly 2 Claimant, exactly 2 Version, 4 Int, 17 steps expect 1
