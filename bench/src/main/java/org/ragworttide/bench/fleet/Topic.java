package org.ragworttide.bench.fleet;

import java.util.Locale;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.VersionMessage;

/** Subject of a message between daemons; immutable. */
enum Topic {
  MEMBERSHIP,
  GROUP,
  LEASE,
  CLAIM,
  LIMIT,
  VERSION,
  QUARANTINE,
  ADMISSION;

  static Topic of(PeerMessage message) {
    return switch (message) {
      case MembershipMessage topic -> MEMBERSHIP;
      case GroupMessage topic -> GROUP;
      case LeaseMessage topic -> LEASE;
      case ClaimMessage topic -> CLAIM;
      case LimitMessage topic -> LIMIT;
      case VersionMessage topic -> VERSION;
      case QuarantineMessage topic -> QUARANTINE;
      case AdmissionMessage topic -> ADMISSION;
    };
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
