package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import willowdoor.front.loop.Looks;

/** From when a request's time is counted, with the looks of the loop moved by hand. */
class ArrivalTimeTest {

  private final Looks looks = new Looks(1_000);

  private ArrivalTime accepted() {
    looks.begins(1_010);
    looks.foundNothing(1_020);
    looks.begins(1_020);
    return new ArrivalTime(looks);
  }

  @Test
  void whatComesToAnIdleLoopIsNoOlderThanTheLastLook() {
    ArrivalTime arrival = accepted();
    arrival.onReadRequested();
    looks.begins(1_030);
    looks.foundNothing(1_040);
    looks.begins(1_041);
    arrival.onRead(true);
    assertEquals(1_040, arrival.arrivedAt());
  }

  @Test
  void whatComesWhileTheLoopStandsStillIsAsOldAsThat() {
    ArrivalTime arrival = accepted();
    arrival.onReadRequested();
    looks.begins(1_030);
    looks.begins(1_600);
    arrival.onRead(true);
    assertEquals(1_030, arrival.arrivedAt());
  }

  /** A connection may have waited with its request to be accepted. */
  @Test
  void whatComesWithAConnectionIsAsOldAsThatCanBe() {
    looks.begins(1_010);
    looks.begins(1_700);
    ArrivalTime arrival = new ArrivalTime(looks);
    arrival.onReadRequested();
    looks.begins(1_701);
    arrival.onRead(true);
    assertEquals(1_010, arrival.arrivedAt());
  }

  @Test
  void theTimeIsThatOfTheLastPiece() {
    ArrivalTime arrival = accepted();
    for (int at = 1_100; at < 1_500; at += 100) {
      arrival.onReadRequested();
      looks.begins(at);
      looks.foundNothing(at + 50);
      looks.begins(at + 60);
      arrival.onRead(true);
    }
    assertEquals(1_450, arrival.arrivedAt());
  }

  /** Nobody looked while the answer before was awaited, and what came then is read at once. */
  @Test
  void whatIsReadUnwatchedCameAfterTheAnswerBefore() {
    ArrivalTime arrival = accepted();
    arrival.onReadRequested();
    looks.begins(1_100);
    arrival.onRead(true);
    looks.begins(1_300);
    arrival.onAnswered(1_301);
    arrival.onReadRequested();
    looks.begins(1_400);
    arrival.onRead(true);
    assertEquals(1_301, arrival.arrivedAt());
  }

  /** What a full buffer left behind came with it, however late it is read. */
  @Test
  void whatWasLeftBehindIsAsOldAsWhatWasRead() {
    ArrivalTime arrival = accepted();
    arrival.onReadRequested();
    looks.begins(1_100);
    looks.foundNothing(1_110);
    looks.begins(1_120);
    arrival.onRead(false);
    looks.begins(1_500);
    arrival.onReadRequested();
    arrival.onRead(true);
    assertEquals(1_110, arrival.arrivedAt());
  }
}
