package org.ragworttide.document.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragworttide.document.Fault;
import org.testng.annotations.Test;

/** Tests that the reader reports faults at their place and sets the defaults. */
public class SettingsReaderTest {
  private static final String MINIMAL =
      """
      {
        // One daemon on loopback.
        "vm": "vm-1", "zone": "chania", "fleet": "demo",
        "callers": { "host": "127.0.0.1", "port": 8080, "plain": true },
        "operators": { "port": 8081 },
        "peers": { "host": "127.0.0.1", "port": 8082, "plain": true },
        "platform": { "host": "127.0.0.1", "port": 9000 },
        "upstream": { "plain": true }
      }
      """;

  @Test
  public void minimalSettingsGetTheDefaults() {
    DaemonSettings settings = accepted(MINIMAL);
    assertEquals(settings.operators().address().host(), "127.0.0.1");
    assertEquals(settings.limits().maxBodyBytes(), 1_048_576);
    assertEquals(settings.control().budgetBytesPerSecond(), 4_096);
    assertEquals(settings.log().format(), DaemonSettings.LogFormat.TEXT);
  }

  @Test
  public void unknownNamesAreFaultsAtTheirPlace() {
    assertFault(MINIMAL.replace("\"vm\"", "\"speed\": 1, \"vm\""), "/speed");
  }

  @Test
  public void wrongTypesAreFaultsAtTheirPlace() {
    assertFault(MINIMAL.replace("8080", "\"8080\""), "/callers/port");
  }

  @Test
  public void valuesOutOfRangeAreFaultsAtTheirPlace() {
    assertFault(MINIMAL.replace("9000", "70000"), "/platform/port");
  }

  @Test
  public void peersMustBePlainOrTls() {
    assertFault(MINIMAL.replace("8082, \"plain\": true", "8082"), "/peers");
  }

  @Test
  public void peersWithTlsNeedAnAuthority() {
    assertFault(
        MINIMAL.replace(
            "8082, \"plain\": true",
            "8082, \"tls\": {\"certificateFile\":\"c\",\"keyFile\":\"k\"}"),
        "/peers/tls/caFile");
  }

  @Test
  public void seedsNeedIpAddresses() {
    String seeds = "8082, \"seeds\": [{\"host\": \"127.0.0.2\", \"port\": 7400}], \"plain\": true";
    DaemonSettings settings = accepted(MINIMAL.replace("8082, \"plain\": true", seeds));
    assertEquals(settings.peers().seeds(), List.of(new DaemonSettings.Address("127.0.0.2", 7400)));
    assertEquals(accepted(MINIMAL).peers().seeds(), List.of());
    assertFault(
        MINIMAL.replace("8082, \"plain\": true", seeds.replace("127.0.0.2", "seed")),
        "/peers/seeds/0/host");
  }

  @Test
  public void hostNamesAreRefusedSinceDaemonsUseIpAddresses() {
    assertFault(MINIMAL.replaceFirst("127.0.0.1", "localhost"), "/callers/host");
  }

  private static DaemonSettings accepted(String text) {
    return switch (SettingsReader.read(text.getBytes(StandardCharsets.UTF_8))) {
      case SettingsResult.Accepted accepted -> accepted.settings();
      case SettingsResult.Refused refused -> throw new AssertionError(refused.faults());
    };
  }

  private static void assertFault(String text, String place) {
    List<Fault> faults =
        switch (SettingsReader.read(text.getBytes(StandardCharsets.UTF_8))) {
          case SettingsResult.Accepted accepted -> throw new AssertionError(accepted.settings());
          case SettingsResult.Refused refused -> refused.faults();
        };
    assertTrue(
        faults.stream().anyMatch(fault -> fault.place().equals(place)), "faults were " + faults);
  }
}
