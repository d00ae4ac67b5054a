package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import willowdoor.front.loop.PollTimes;

/** From when a request's time is counted, with the looks of the loop moved by hand. */
class ArrivalTest {

  private final PollTimes looks = new PollTimes(1_000);

  private Arrival accepted() {
    looks.onPollStart(1_010);
    looks.onEmptyPoll(1_020);
    looks.onPollStart(1_020);
    return new Arrival(looks);
  }

  @Test
  void whatComesToAnIdleLoopIsNoOlderThanTheLastLook() {
    Arrival arrival = accepted();
    arrival.asked();
    looks.onPollStart(1_030);
    looks.onEmptyPoll(1_040);
    looks.onPollStart(1_041);
    arrival.read(true);
    assertEquals(1_040, arrival.cameAt());
  }

  @Test
  void whatComesWhileTheLoopStandsStillIsAsOldAsThat() {
    Arrival arrival = accepted();
    arrival.asked();
    looks.onPollStart(1_030);
    looks.onPollStart(1_600);
    arrival.read(true);
    assertEquals(1_030, arrival.cameAt());
  }

  /** A connection may have waited with its request to be accepted. */
  @Test
  void whatComesWithAConnectionIsAsOldAsThatCanBe() {
    looks.onPollStart(1_010);
    looks.onPollStart(1_700);
    Arrival arrival = new Arrival(looks);
    arrival.asked();
    looks.onPollStart(1_701);
    arrival.read(true);
    assertEquals(1_010, arrival.cameAt());
  }

  @Test
  void theTimeIsThatOfTheLastPiece() {
    Arrival arrival = accepted();
    for (int at = 1_100; at < 1_500; at += 100) {
      arrival.asked();
      looks.onPollStart(at);
      looks.onEmptyPoll(at + 50);
      looks.onPollStart(at + 60);
      arrival.read(true);
    }
    assertEquals(1_450, arrival.cameAt());
  }

  /** Nobody looked while the answer before was awaited, and what came then is read at once. */
  @Test
  void whatIsReadUnwatchedCameAfterTheAnswerBefore() {
    Arrival arrival = accepted();
    arrival.asked();
    looks.onPollStart(1_100);
    arrival.read(true);
    looks.onPollStart(1_300);
    arrival.answered(1_301);
    arrival.asked();
    looks.onPollStart(1_400);
    arrival.read(true);
    assertEquals(1_301, arrival.cameAt());
  }

  /** What a full buffer left behind came with it, however late it is read. */
  @Test
  void whatWasLeftBehindIsAsOldAsWhatWasRead() {
    Arrival arrival = accepted();
    arrival.asked();
    looks.onPollStart(1_100);
    looks.onEmptyPoll(1_110);
    looks.onPollStart(1_120);
    arrival.read(false);
    looks.onPollStart(1_500);
    arrival.asked();
    arrival.read(true);
    assertEquals(1_110, arrival.cameAt());
  }
}
