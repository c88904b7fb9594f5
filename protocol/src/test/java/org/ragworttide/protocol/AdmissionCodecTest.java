package org.ragworttide.protocol;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.protocol.wire.AdmissionAsk;
import org.ragworttide.protocol.wire.AdmissionEnvelope;
import org.testng.annotations.Test;

/** Tests encoding and decoding of admission messages. */
public class AdmissionCodecTest {
  private static final UpstreamId ENGINE = new UpstreamId("engine");

  @Test
  public void everyMessageDecodesToItself() {
    List<AdmissionMessage> messages =
        List.of(
            new AdmissionMessage.Ask(ENGINE, -2, -3, 4, 3, 5),
            new AdmissionMessage.Grant(ENGINE, -2, 3, 4, 5, 6),
            new AdmissionMessage.Warm(ENGINE, -2, 3, 4),
            new AdmissionMessage.Feedback(ENGINE, -2, 3, 4, 5, 6, 7, List.of(8L, -9L)),
            new AdmissionMessage.TurnedCold(ENGINE, -2, -3, true));
    for (AdmissionMessage message : messages) {
      assertEquals(AdmissionCodec.decode(AdmissionCodec.encode(message)), Optional.of(message));
    }
  }

  @Test
  public void invalidEnvelopesDecodeToEmpty() {
    AdmissionAsk noUpstream = AdmissionAsk.getDefaultInstance();
    AdmissionAsk negativePermits =
        AdmissionAsk.newBuilder().setUpstream("e").setPermits(-1).build();
    for (AdmissionAsk ask : List.of(noUpstream, negativePermits)) {
      AdmissionEnvelope envelope = AdmissionEnvelope.newBuilder().setAsk(ask).build();
      assertEquals(AdmissionCodec.decode(envelope), Optional.empty());
    }
    assertEquals(AdmissionCodec.decode(AdmissionEnvelope.getDefaultInstance()), Optional.empty());
  }
}
