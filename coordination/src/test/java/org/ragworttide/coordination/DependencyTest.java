package org.ragworttide.coordination;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Tests that the library stays free of network, thread, clock and daemon dependencies. */
public class DependencyTest {
  private static final JavaClasses LIBRARY =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.ragworttide.coordination");

  @Test
  public void libraryDoesNotDependOnNetworkThreadsOrDaemon() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "reactor..",
            "java.net..",
            "java.nio.channels..",
            "java.util.concurrent..",
            "org.ragworttide.daemon..",
            "org.ragworttide.protocol..",
            "org.ragworttide.document..")
        .check(LIBRARY);
  }

  @Test
  public void libraryDoesNotReadTheSystemClock() {
    noClasses().should().callMethod(System.class, "nanoTime").check(LIBRARY);
    noClasses().should().callMethod(System.class, "currentTimeMillis").check(LIBRARY);
  }
}
