package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The wait that a gateway expects; time is moved by hand. */
class PressureTest {

  @Test
  void theServiceTimeOfBeforeIsOverInSeconds() {
    Pressure pressure = new Pressure(Fixtures.settings(true, 100, false));
    double now = 1_000_000;
    for (int i = 0; i < 200; i++, now += 250) {
      pressure.served(i < 100 ? 400 : 200, now);
    }
    assertEquals(200, pressure.service, 1);
    pressure.served(400, now);
    assertTrue(pressure.service < 215, "one answer made it " + pressure.service);
  }
}
