package pumicekeel.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Fails each test during which the program's guard counted a violation; registered for all tests in META-INF/services. */
public final class NoViolations implements BeforeEachCallback, AfterEachCallback {

  private long before;

  @Override
  public void beforeEach(ExtensionContext test) {
    before = ServingGuard.violationCountInProcess();
  }

  @Override
  public void afterEach(ExtensionContext test) {
    boolean wanted =
        test.getTestClass().filter(c -> c == ServingGuardTest.class).isPresent();
    assertEquals(
        wanted ? ServingGuard.violationCountInProcess() : before,
        ServingGuard.violationCountInProcess(),
        "violations that the guard counted");
  }
}
