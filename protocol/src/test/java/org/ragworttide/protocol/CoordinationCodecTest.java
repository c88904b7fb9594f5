package org.ragworttide.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.versions.DocumentDigest;
import org.ragworttide.protocol.wire.LimitAnswer;
import org.ragworttide.protocol.wire.LimitEnvelope;
import org.ragworttide.protocol.wire.LimitGrant;
import org.ragworttide.protocol.wire.MembershipEnvelope;
import org.ragworttide.protocol.wire.QuarantineEnvelope;
import org.ragworttide.protocol.wire.VersionEnvelope;
import org.testng.annotations.Test;

/** Tests that messages decode to themselves and that the codecs reject invalid ones. */
public class CoordinationCodecTest {
  private static final VmEntry ENTRY =
      new VmEntry(new VmId("vm-1"), new ZoneId("chania"), VmState.LEAVING, "127.0.0.1:7400");
  private static final Fingerprint FINGERPRINT = new Fingerprint(-1, 2);

  @Test
  public void limitMessagesDecodeToThemselves() {
    OrganisationId organisation = new OrganisationId("hotel");
    List<LimitMessage> messages =
        List.of(
            new LimitMessage.Ask(
                1L << 47,
                List.of(new LimitMessage.Want(organisation, 2, List.of(-1L, 5L), 3)),
                List.of(new LimitMessage.Close(9, true, List.of(7L)))),
            new LimitMessage.Answer(
                2,
                List.of(
                    new LimitMessage.Grant(true, 9, 4, 2_000, true, 0, List.of(1)),
                    LimitMessage.Grant.notOwned(200))));
    for (LimitMessage message : messages) {
      assertEquals(LimitCodec.decode(LimitCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void membershipMessagesDecodeToThemselves() {
    MembershipMessage.Suspicion suspicion =
        new MembershipMessage.Suspicion(new VmId("vm-2"), new Incarnation(-3));
    List<MembershipMessage> messages =
        List.of(
            new MembershipMessage.Probe(new Incarnation(1), 2, 3, List.of(suspicion)),
            new MembershipMessage.Reply(new Incarnation(1), 2, 3, List.of()),
            new MembershipMessage.ListRequest(3, 4, 5),
            new MembershipMessage.ListChanges(
                List.of(
                    new MembershipMessage.ListChange(
                        4, List.of(ENTRY), List.of(new VmId("vm-9"))))),
            new MembershipMessage.ListPage(4, 0, 2, List.of(ENTRY)));
    for (MembershipMessage message : messages) {
      assertEquals(MembershipCodec.decode(MembershipCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void versionMessagesDecodeToThemselves() {
    byte[] document = "{}".getBytes(StandardCharsets.UTF_8);
    List<VersionMessage> messages =
        List.of(
            new VersionMessage.Query(3),
            new VersionMessage.Announce(4, DocumentDigest.of(document), 2, List.of()),
            new VersionMessage.ChunkRequest(4, 0),
            new VersionMessage.Cover());
    for (VersionMessage message : messages) {
      assertEquals(VersionCodec.decode(VersionCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void quarantineMessagesDecodeToThemselves() {
    List<QuarantineMessage> messages =
        List.of(
            new QuarantineMessage.Died(5, List.of(FINGERPRINT), 6),
            new QuarantineMessage.RunRequest(1, FINGERPRINT),
            new QuarantineMessage.RunReply(1, QuarantineMessage.RunAnswer.BUSY, 2),
            new QuarantineMessage.RunEnded(1, FINGERPRINT),
            new QuarantineMessage.Summary(-1));
    for (QuarantineMessage message : messages) {
      assertEquals(QuarantineCodec.decode(QuarantineCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void emptyEnvelopesAreRejected() {
    assertTrue(LimitCodec.decode(LimitEnvelope.getDefaultInstance()).isEmpty());
    assertTrue(MembershipCodec.decode(MembershipEnvelope.getDefaultInstance()).isEmpty());
    assertTrue(VersionCodec.decode(VersionEnvelope.getDefaultInstance()).isEmpty());
    assertTrue(QuarantineCodec.decode(QuarantineEnvelope.getDefaultInstance()).isEmpty());
  }

  @Test
  public void negativeTokensAreRejected() {
    LimitGrant grant = LimitGrant.newBuilder().setOwned(true).setTokens(-5).build();
    LimitAnswer answer = LimitAnswer.newBuilder().addGrants(grant).build();
    assertTrue(LimitCodec.decode(LimitEnvelope.newBuilder().setAnswer(answer).build()).isEmpty());
  }

  @Test
  public void randomBytesAreDecodedOrRejectedWithoutException() {
    SplittableRandom random = new SplittableRandom(Long.getLong("seed", 20261204));
    for (int i = 0; i < 50_000; i++) {
      byte[] bytes = new byte[random.nextInt(40)];
      random.nextBytes(bytes);
      if (bytes.length > 1) {
        bytes[0] = (byte) ((1 + random.nextInt(5)) << 3 | 2);
        bytes[1] = (byte) (bytes.length - 2);
      }
      decodeAll(bytes);
    }
  }

  private static void decodeAll(byte[] bytes) {
    try {
      LimitCodec.decode(LimitEnvelope.parseFrom(bytes));
      MembershipCodec.decode(MembershipEnvelope.parseFrom(bytes));
      VersionCodec.decode(VersionEnvelope.parseFrom(bytes));
      QuarantineCodec.decode(QuarantineEnvelope.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      assertTrue(bytes.length > 0);
    }
  }
}
