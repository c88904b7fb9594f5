/*
 * Model of the lease of one shard, which the voter groups of successive VM lists grant.
 *
 * Time is abstract: a term of a lease ends for its owner before any voter removes its vote for
 * it. Voters restart without their volatile state, possibly with an older list.
 */
module lease

open util/ordering[Version] as versions

/** Rules of the protocol; a broken variant omits the ones in Broken. */
enum Rule { OneOwnerAtVoter, QuietPeriod, LearnFirst, Certificate, ExactCertificate, AwaitTerms }

sig Broken in Rule {}

sig Candidate {}

/** Round of vote requests of a candidate; a renewal is a further term. */
sig Term {
  owner: one Candidate,
  var collected: Node -> Version
}

/** Terms that have ended on their owner's clock. */
var sig Over in Term {}

sig Version {
  group: set Node
}

sig Node {
  var votes: set Term,
  var adopted: one Version,
  var informed: set Version,
  var heard: Version -> Node,
  var certified: set Version,
  var awaited: set Term
}

/** Restarted voters whose votes from before the restart a candidate may still count. */
var sig Quiet in Node {}

/** The parameters of the step. */
var sig Actors in Node {}
var lone sig Chosen in Term {}
var lone sig Learner in Node {}

pred quorum[voters: set Node, v: Version] { #(voters & v.group) >= 2 }

pred sameVotes { votes' = votes and collected' = collected and Over' = Over }
pred sameKnowledge { informed' = informed and heard' = heard }
pred sameCertificates { certified' = certified and awaited' = awaited }

pred init {
  no votes and no collected and no heard and no Quiet and no Over and no certified and no awaited
  adopted = Node -> versions/first
  informed = versions/first.group -> versions/first
}

pred stutter {
  sameVotes and sameKnowledge and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/** Informed voters grant a term unless they know a term of another owner. */
pred vote {
  some Actors and one Chosen and Chosen not in Over
  all n: Actors {
    n.adopted in n.informed
    n in n.adopted.group
    OneOwnerAtVoter in Broken or n.votes.owner in Chosen.owner
  }
  votes' = votes + Actors -> Chosen
  collected' = collected + (Chosen -> (Actors <: adopted))
  Over' = Over
  sameKnowledge and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/** A term ends on its owner's clock. */
pred endTerm {
  one Chosen and Chosen not in Over
  Over' = Over + Chosen
  collected' = collected - Chosen -> Node -> Version
  votes' = votes
  sameKnowledge and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/** Voters remove their vote for a term that has ended. */
pred forget {
  some Actors and one Chosen and Chosen in Over
  votes' = votes - Actors -> Chosen
  collected' = collected and Over' = Over
  sameKnowledge and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/**
 * Voters adopt a newer list; a member of both groups stays informed, or keeps waiting, if no list
 * was skipped.
 */
pred adopt {
  some Actors
  all n: Node - Actors | n.adopted' = n.adopted
  all n: Actors | versions/gt[n.adopted', n.adopted]
  informed' = informed + { n: Actors, v: Version {
    v = n.adopted' and n in v.group and n.adopted in n.informed
    n.adopted = v.versions/prev
  } }
  certified' = certified + { n: Actors, v: Version {
    v = n.adopted' and n in v.group and n in n.adopted.group and n.adopted in n.certified
    n.adopted = v.versions/prev
  } }
  awaited' = awaited and heard' = heard and sameVotes and Quiet' = Quiet
}

/** Informed members of the current group send their votes to a member that is new or has restarted. */
pred answer {
  some Actors and one Learner and Learner not in Actors
  let v = Learner.adopted {
    v not in Learner.informed and Learner in v.group
    QuietPeriod in Broken or Learner not in Quiet
    all m: Actors | m in v.group and v in m.informed and m.adopted = v
    heard' = heard + Learner -> v -> Actors
  }
  informed' = informed
  votes' = votes + Learner -> Actors.votes
  collected' = collected and Over' = Over
  adopted' = adopted and sameCertificates and Quiet' = Quiet
}

/** A voter becomes informed after answers from a quorum of its group. */
pred becomeInformed {
  one Learner
  let v = Learner.adopted {
    v not in Learner.informed and Learner in v.group
    LearnFirst in Broken or quorum[v.(Learner.heard), v]
    informed' = informed + Learner -> v
  }
  heard' = heard
  sameVotes and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/**
 * A voter certifies that all listed VMs have adopted its own version. Fewer would suffice if no process
 * could read an older list than its VM had adopted before.
 */
pred certify {
  one Learner and Learner not in Quiet
  let v = Learner.adopted {
    Learner in v.group and v not in Learner.certified
    Certificate in Broken or #{ m: Node | versions/lt[m.adopted, v] } < 2
    some (Certificate + ExactCertificate) & Broken or Node.adopted = v
    certified' = certified + Learner -> v
  }
  awaited' = awaited ++ Learner -> (Term - Over)
  sameVotes and sameKnowledge and adopted' = adopted and Quiet' = Quiet
}

/** A voter becomes informed once all terms that voters may have granted before the certificate have ended. */
pred becomeInformedByTime {
  one Learner
  let v = Learner.adopted {
    Learner in v.group and v in Learner.certified
    AwaitTerms in Broken or no (Learner.awaited - Over).collected
    informed' = informed + Learner -> v
  }
  heard' = heard
  sameVotes and sameCertificates and adopted' = adopted and Quiet' = Quiet
}

/** Voters restart without their volatile state and read any list, possibly an older one. */
pred restart {
  some Actors
  votes' = votes - Actors -> Term
  collected' = collected and Over' = Over
  all n: Node - Actors | n.adopted' = n.adopted
  informed' = informed - Actors -> Version
  heard' = heard - Actors -> Version -> Node
  certified' = certified - Actors -> Version
  awaited' = awaited - Actors -> Term
  Quiet' = Quiet + Actors
}

/** The quiet period ends: all terms that the voter granted before the restart have ended. */
pred endQuiet {
  some Actors and Actors in Quiet
  no Actors & Term.collected.Version
  Quiet' = Quiet - Actors
  heard' = heard - Node -> Version -> Actors
  informed' = informed and adopted' = adopted
  sameVotes and sameCertificates
}

fact trace {
  init
  always (stutter or vote or endTerm or forget or adopt or answer or becomeInformed or certify
    or becomeInformedByTime or restart or endQuiet)
}

fact groups {
  all v: Version | #v.group in 1 + 2 + 3
  Term.owner = Candidate
}

fun owners: set Candidate {
  { c: Candidate | some t: owner.c, v: Version | quorum[t.collected.v, v] }
}

pred oneOwner { always lone owners }

restarts: check { no Broken => oneOwner }
  for exactly 3 Node, exactly 2 Candidate, exactly 3 Term, exactly 1 Version, 4 Int, 1..9 steps expect 0
twoLists: check { no Broken => oneOwner }
  for exactly 4 Node, exactly 2 Candidate, exactly 2 Term, exactly 2 Version, 4 Int, 1..8 steps expect 0
threeLists: check { no Broken => oneOwner }
  for exactly 4 Node, exactly 2 Candidate, exactly 2 Term, exactly 3 Version, 4 Int, 1..7 steps expect 0

withoutOneOwnerAtVoter: check { Broken = OneOwnerAtVoter => oneOwner }
  for exactly 3 Node, exactly 2 Candidate, exactly 2 Term, exactly 1 Version, 4 Int, 1..6 steps expect 1
withoutQuietPeriod: check { Broken = QuietPeriod => oneOwner }
  for exactly 3 Node, exactly 2 Candidate, exactly 2 Term, exactly 1 Version, 4 Int, 1..8 steps expect 1
withoutLearnFirst: check { Broken = LearnFirst => oneOwner }
  for exactly 3 Node, exactly 2 Candidate, exactly 2 Term, exactly 2 Version, 4 Int, 1..8 steps expect 1
withoutCertificate: check { Broken = Certificate => oneOwner }
  for exactly 4 Node, exactly 2 Candidate, exactly 2 Term, exactly 2 Version, 4 Int, 1..8 steps expect 1
withoutExactCertificate: check {
  (Broken = ExactCertificate and (adopt; answer; becomeInformed; restart; endQuiet; certify;
    becomeInformedByTime; vote; vote)) => oneOwner
} for exactly 4 Node, exactly 2 Candidate, exactly 2 Term, exactly 2 Version, 4 Int, 10 steps expect 1
withoutAwaitTerms: check { Broken = AwaitTerms => oneOwner }
  for exactly 4 Node, exactly 2 Candidate, exactly 2 Term, exactly 2 Version, 4 Int, 1..7 steps expect 1
