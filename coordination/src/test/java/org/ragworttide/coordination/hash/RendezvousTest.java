package org.ragworttide.coordination.hash;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.testng.annotations.Test;

/** Tests the stability of the rendezvous order. */
public class RendezvousTest {

  @Test
  public void removingOneCandidateKeepsTheOrderOfTheOthers() {
    List<String> all = List.of("a", "b", "c", "d", "e");
    List<String> order = new ArrayList<>(Rendezvous.order("key", all, Function.identity()));
    order.remove("c");
    List<String> without = Rendezvous.order("key", List.of("a", "b", "d", "e"), s -> s);
    assertEquals(without, order);
  }
}
