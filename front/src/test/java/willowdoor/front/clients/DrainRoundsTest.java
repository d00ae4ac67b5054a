package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DrainRoundsTest {

  @Test
  void everySecondRoundActsIfTheProcessIsAlwaysSlow() {
    DrainRounds drainRounds = new DrainRounds();
    int acted = 0;
    for (int i = 0; i < 10; i++) {
      acted += drainRounds.shouldAct(100 * i) ? 1 : 0;
    }
    assertEquals(5, acted);
  }
}
