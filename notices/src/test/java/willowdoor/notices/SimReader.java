package willowdoor.notices;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated reader: takes bytes at its rate, follows move orders, reconnects, and checks the
 * events that it receives.
 */
final class SimReader {
  /** An event as a reader receives it. An event that many readers share is parsed once. */
  record ReceivedEvent(
      String type,
      String id,
      String stream,
      long from,
      long to,
      long publishedMs,
      int target,
      MoveOrder order) {
    static List<ReceivedEvent> all(byte[] bytes) {
      String[] events = new String(bytes, StandardCharsets.UTF_8).split("\n\n");
      return Arrays.stream(events).filter(e -> !e.isEmpty()).map(ReceivedEvent::of).toList();
    }

    private static ReceivedEvent of(String text) {
      Map<String, String> fields = new HashMap<>();
      for (String line : text.split("\n")) {
        String[] parts = line.split(": ", 2);
        fields.putIfAbsent(parts[0], parts[1]);
      }
      String type = fields.getOrDefault("event", "notice");
      String id = fields.get("id");
      String data = fields.get("data");
      if (type.equals("notice")) {
        String own = id.split("_")[0];
        int dot = own.lastIndexOf('.');
        long seq = Long.parseLong(own.substring(dot + 1), 36);
        long publishedMs = Long.parseLong(data.split(" ")[0]);
        return new ReceivedEvent(type, id, own.substring(0, dot), seq, seq, publishedMs, -1, null);
      }
      String[] quoted = data.split("\"");
      if (type.equals("gap")) {
        String to = data.replaceAll(".*\"to\":|}", "");
        return new ReceivedEvent(
            type,
            id,
            quoted[3],
            Long.parseLong(data.replaceAll(".*\"from\":|,.*", "")),
            to.equals("null") ? Entry.OPEN_ENDED : Long.parseLong(to),
            0,
            -1,
            null);
      }
      return type.equals("move")
          ? new ReceivedEvent(
              type,
              id,
              null,
              0,
              0,
              0,
              Integer.parseInt(quoted[3].substring(1)),
              MoveOrder.parse(quoted[7]))
          : new ReceivedEvent(type, id, null, 0, 0, 0, -1, null);
    }
  }

  /**
   * The counts of one stream that a reader has received or that were reported as gaps: all from the
   * first to the last.
   */
  static final class ReceivedRange {
    long first;
    long last;
    boolean openEnd;
  }

  final long customer;
  final int index;
  double bytesPerMs;
  long latencyMs = 5;
  int door = -1;
  long connection;
  String lastId;
  MoveOrder order;
  long openedMs = -1;
  int repeats;
  int gaps;
  int moves;
  int closes;
  long missing;
  long highestCount;
  final Map<String, ReceivedRange> streams = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  private final ArrayDeque<byte[]> inFlight = new ArrayDeque<>();
  private double credit;
  private int offset;
  boolean closing;

  SimReader(int index, long customer, double bytesPerMs) {
    this.index = index;
    this.customer = customer;
    this.bytesPerMs = bytesPerMs;
  }

  void connected(int to, long number) {
    door = to;
    connection = number;
    inFlight.clear();
    credit = 0;
    offset = 0;
    closing = false;
  }

  void write(byte[] bytes) {
    inFlight.add(bytes);
  }

  boolean idle() {
    return inFlight.isEmpty();
  }

  /**
   * Reads for 1 ms. Whole events are passed to {@code seen}.
   *
   * @return bytes taken
   */
  long read(java.util.function.Consumer<byte[]> seen) {
    credit = Math.min(credit + bytesPerMs, Math.max(1, 2 * bytesPerMs));
    long taken = 0;
    while (!inFlight.isEmpty() && credit >= 1) {
      int part = (int) Math.min(credit, inFlight.peek().length - offset);
      offset += part;
      credit -= part;
      taken += part;
      if (offset == inFlight.peek().length) {
        offset = 0;
        seen.accept(inFlight.remove());
      }
    }
    return taken;
  }

  /**
   * Checks an event against all earlier events: no notice may be missing without a reported gap.
   */
  void onEvent(ReceivedEvent event, long nowMs) {
    lastId = event.id();
    openedMs = event.type().equals("open") && openedMs < 0 ? nowMs : openedMs;
    if (event.type().equals("closed")) {
      closes++;
    }
    if (event.stream() == null) {
      return;
    }
    ReceivedRange known =
        streams.computeIfAbsent(
            event.stream(),
            s -> {
              ReceivedRange begun = new ReceivedRange();
              begun.first = event.from();
              begun.last = event.from() - 1;
              return begun;
            });
    boolean gap = event.type().equals("gap");
    gaps += gap ? 1 : 0;
    if (event.from() > known.last + 1) {
      violations.add(
          index
              + " lost "
              + (known.last + 1)
              + " to "
              + (event.from() - 1)
              + " of "
              + event.stream());
    }
    if (gap && event.to() == Entry.OPEN_ENDED) {
      known.openEnd = true;
    } else if (event.to() <= known.last) {
      repeats++;
    } else {
      missing += gap ? event.to() - known.last : 0;
      known.last = event.to();
    }
  }
}
