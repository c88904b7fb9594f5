package org.ragworttide.fakes;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the search for free ports. */
public class FreePortsTest {
  private static final int COUNT = 500;

  @Test
  public void portsOfOneCallDiffer() throws IOException {
    List<Integer> ports = FreePorts.find(COUNT);
    assertEquals(new HashSet<>(ports).size(), COUNT);
  }
}
