package willowdoor.front;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The allowed dependencies between packages, as listed in {@code docs/design.md}. There are no
 * cycles.
 */
class PackagesTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("willowdoor");

  /** In addition, all packages may use the policy module and {@code wire}. */
  @ParameterizedTest
  @CsvSource({
    "wire, ''",
    "front.loop, ''",
    "front.discovery, front.loop",
    "front.requests, front.loop front.discovery",
    "front.counter, front.loop front.requests",
    "front.servers, front.loop front.discovery front.requests",
    "front.clients, front.loop front.requests",
    "front.operators, front.loop",
    "front.start, front.discovery front.requests",
    "discovery, ''",
    "benchlink, ''"
  })
  void packageUsesOnlyTheListedPackages(String name, String used) {
    String[] may =
        Stream.concat(
                Stream.of("willowdoor.policy", "willowdoor.wire", "willowdoor." + name),
                used.isEmpty()
                    ? Stream.empty()
                    : Stream.of(used.split(" ")).map(u -> "willowdoor." + u))
            .toArray(String[]::new);
    classes()
        .that()
        .resideInAPackage("willowdoor." + name)
        .should()
        .onlyDependOnClassesThat(resideOutsideOfPackage("willowdoor..").or(resideInAnyPackage(may)))
        .check(CLASSES);
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching("willowdoor.(**)").should().beFreeOfCycles().check(CLASSES);
  }
}
