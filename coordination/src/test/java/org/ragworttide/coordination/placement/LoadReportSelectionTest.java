package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which reports of engines a VM passes on. */
public class LoadReportSelectionTest {
  private static final long NOW = 10_000;

  private static List<LoadReport> reports(int count) {
    List<LoadReport> reports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      reports.add(new LoadReport(i, i, NOW));
    }
    return reports;
  }

  @Test
  public void reportsOfTheBusiestEnginesAreInEachStatement() {
    LoadReportSelection selection = new LoadReportSelection();
    for (int statement = 0; statement < 5; statement++) {
      List<LoadReport> next = selection.next(reports(100), NOW);
      assertEquals(next.size(), LoadReportSelection.MAX_REPORTS);
      assertTrue(next.containsAll(reports(100).subList(90, 100)));
    }
  }

  @Test
  public void reportsOfTheOtherEnginesTakeTurns() {
    LoadReportSelection selection = new LoadReportSelection();
    Set<Integer> included = new HashSet<>();
    for (int statement = 0; statement < 9; statement++) {
      selection.next(reports(100), NOW).forEach(it -> included.add(it.upstream()));
    }
    assertEquals(included.size(), 100);
  }

  @Test
  public void outdatedReportsAreNotPassedOn() {
    LoadReportSelection selection = new LoadReportSelection();
    long later = NOW + LoadReportSelection.MAX_AGE_MILLIS + 1;
    assertEquals(selection.next(reports(5), later), List.of());
  }
}
