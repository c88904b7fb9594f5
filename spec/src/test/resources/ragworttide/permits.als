/*
 * Model of the permits that successive owners of one limit grant.
 *
 * A permit expires at most one permit lifetime after its holder requested it. A new owner
 * grants only once a permit lifetime has passed since its lease began. One unit of the limit is one permit.
 */
module permits

enum Rule { SettleFirst, CountGranted, LifeFromRequest }

sig Broken in Rule {}

sig Owner {}

sig Permit {
  var grantor: lone Owner
}

/** Requests that were sent and whose life has not passed. */
var sig Asked in Permit {}

/** Permits that their holder may use. */
var sig Live in Permit {}

/** Permits whose lifetime has passed on every clock. */
var sig Expired in Permit {}

/** Holder of the current lease, and the same owner once a permit lifetime has passed since it began. */
var lone sig Current in Owner {}
var lone sig Settled in Owner {}

/** Permits requested before the current lease began and not expired at that time. */
var sig Earlier in Permit {}

/** The parameter of the step. */
var lone sig Chosen in Permit {}

pred limit[permits: set Permit] { #permits =< 2 }

pred init { no grantor and no Asked and no Live and no Expired and no Current and no Settled and no Earlier }

pred sameOwner { Current' = Current and Settled' = Settled and Earlier' = Earlier }
pred samePermits { grantor' = grantor and Live' = Live and Expired' = Expired and Asked' = Asked }

pred ask {
  one Chosen and Chosen not in Asked + Expired
  Asked' = Asked + Chosen
  grantor' = grantor and Live' = Live and Expired' = Expired
  sameOwner
}

pred grant {
  one Current and one Chosen and Chosen in Asked and no Chosen.grantor
  SettleFirst in Broken or Current in Settled
  CountGranted in Broken or limit[(grantor.Current - Expired) + Chosen]
  grantor' = grantor + Chosen -> Current
  Asked' = Asked and Live' = Live and Expired' = Expired
  sameOwner
}

/** A grant arrives; the holder discards it if the permit lifetime has passed since the request. */
pred receive {
  one Chosen and one Chosen.grantor and Chosen not in Live
  LifeFromRequest in Broken or Chosen not in Expired
  Live' = Live + Chosen
  grantor' = grantor and Expired' = Expired and Asked' = Asked
  sameOwner
}

pred expire {
  one Chosen and Chosen in Asked
  Expired' = Expired + Chosen
  Live' = Live - Chosen
  grantor' = grantor and Asked' = Asked
  sameOwner
}

pred changeOwner {
  Current' != Current
  Current' not in Permit.grantor
  no Settled'
  Earlier' = Asked - Expired
  samePermits
}

/** One permit lifetime has passed since the lease began. */
pred settle {
  one Current and no Settled and Earlier in Expired
  Settled' = Current
  Current' = Current and Earlier' = Earlier
  samePermits
}

pred stutter { sameOwner and samePermits }

fact trace {
  init
  always (stutter or ask or grant or receive or expire or changeOwner or settle)
}

pred withinLimit { always limit[Live] }

permitsWithinLimit: check { no Broken => withinLimit }
  for exactly 4 Permit, exactly 2 Owner, 4 Int, 1..13 steps expect 0
withoutSettleFirst: check { Broken = SettleFirst => withinLimit }
  for exactly 4 Permit, exactly 2 Owner, 4 Int, 1..13 steps expect 1
withoutCountGranted: check { Broken = CountGranted => withinLimit }
  for exactly 4 Permit, exactly 2 Owner, 4 Int, 1..13 steps expect 1
withoutLifeFromRequest: check { Broken = LifeFromRequest => withinLimit }
  for exactly 4 Permit, exactly 2 Owner, 4 Int, 1..13 steps expect 1
