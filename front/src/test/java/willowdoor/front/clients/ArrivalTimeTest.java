package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import willowdoor.front.loop.PollTimes;

/**
 * Tests the time from which a request's time is counted. The test drives the polls of the loop
 * itself.
 */
class ArrivalTimeTest {

  private final PollTimes polls = new PollTimes(1_000);

  private ArrivalTime accepted() {
    polls.onPollStart(1_010);
    polls.onEmptyPoll(1_020);
    polls.onPollStart(1_020);
    return new ArrivalTime(polls);
  }

  @Test
  void inputOfAnIdleLoopIsNoOlderThanTheLastPoll() {
    ArrivalTime arrivalTime = accepted();
    arrivalTime.onReadRequested();
    polls.onPollStart(1_030);
    polls.onEmptyPoll(1_040);
    polls.onPollStart(1_041);
    arrivalTime.onRead(true);
    assertEquals(1_040, arrivalTime.arrivedAt());
  }

  @Test
  void inputDuringAPauseIsDatedToTheStartOfThePause() {
    ArrivalTime arrivalTime = accepted();
    arrivalTime.onReadRequested();
    polls.onPollStart(1_030);
    polls.onPollStart(1_600);
    arrivalTime.onRead(true);
    assertEquals(1_030, arrivalTime.arrivedAt());
  }

  /** A connection may have waited with its request before it was accepted. */
  @Test
  void inputOfANewConnectionHasTheConnectionsEarliestTime() {
    polls.onPollStart(1_010);
    polls.onPollStart(1_700);
    ArrivalTime arrivalTime = new ArrivalTime(polls);
    arrivalTime.onReadRequested();
    polls.onPollStart(1_701);
    arrivalTime.onRead(true);
    assertEquals(1_010, arrivalTime.arrivedAt());
  }

  @Test
  void arrivalTimeIsThatOfTheLastPiece() {
    ArrivalTime arrivalTime = accepted();
    for (int at = 1_100; at < 1_500; at += 100) {
      arrivalTime.onReadRequested();
      polls.onPollStart(at);
      polls.onEmptyPoll(at + 50);
      polls.onPollStart(at + 60);
      arrivalTime.onRead(true);
    }
    assertEquals(1_450, arrivalTime.arrivedAt());
  }

  /**
   * The loop does not poll the connection while a response is outstanding. Input that arrived then
   * is read at once afterwards.
   */
  @Test
  void inputThatWasNotPolledForIsDatedToThePreviousResponse() {
    ArrivalTime arrivalTime = accepted();
    arrivalTime.onReadRequested();
    polls.onPollStart(1_100);
    arrivalTime.onRead(true);
    polls.onPollStart(1_300);
    arrivalTime.onAnswered(1_301);
    arrivalTime.onReadRequested();
    polls.onPollStart(1_400);
    arrivalTime.onRead(true);
    assertEquals(1_301, arrivalTime.arrivedAt());
  }

  /**
   * Bytes that a full buffer left in the socket arrived together with those that were read, however
   * late they are read.
   */
  @Test
  void leftoverInputIsAsOldAsTheInputReadBeforeIt() {
    ArrivalTime arrivalTime = accepted();
    arrivalTime.onReadRequested();
    polls.onPollStart(1_100);
    polls.onEmptyPoll(1_110);
    polls.onPollStart(1_120);
    arrivalTime.onRead(false);
    polls.onPollStart(1_500);
    arrivalTime.onReadRequested();
    arrivalTime.onRead(true);
    assertEquals(1_110, arrivalTime.arrivedAt());
  }
}
