package elmsail.soak;

import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What servers do with a request, drawn from its id alone, so that clients, servers and checkers
 * know it without communication.
 *
 * @param events how many events its stream has
 * @param failures how many of its first runs end with a 500
 * @param impossible whether every run ends with a 422
 * @param cutAfter the event behind which its first run is cut off, -1 for none; a plain request's
 *     connection is closed at once instead
 * @param paceMs between events
 */
record ItemScript(int events, int failures, boolean impossible, int cutAfter, int paceMs) {
  private static final int MANY_FAILURES = 4;
  private static final int SLOW_MS = 400;

  static ItemScript of(String id) {
    Random random = new Random(id.hashCode() * 0x9E3779B97F4A7C15L);
    random.nextLong();
    int events = 2 + random.nextInt(5);
    int chance = random.nextInt(100);
    int failures = chance < 8 ? 1 : chance < 11 ? MANY_FAILURES : 0;
    boolean impossible = chance >= 11 && chance < 15;
    int cutAfter = chance >= 15 && chance < 25 ? random.nextInt(events) : -1;
    return new ItemScript(events, failures, impossible, cutAfter, 20 + random.nextInt(80));
  }

  /** Whether a complete run takes longer than most. */
  boolean slow() {
    return events * paceMs >= SLOW_MS;
  }

  static String data(String id, int event) {
    return id + "-" + event;
  }

  /** The complete output: the data of all events, joined by line feeds. */
  String text(String id) {
    return IntStream.range(0, events)
        .mapToObj(event -> data(id, event))
        .collect(Collectors.joining("\n"));
  }
}
