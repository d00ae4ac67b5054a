package willowdoor.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Of which members there is news to tell: one piece for each, what is told is what holds then. */
final class GossipQueue {

  /** One piece of news: how often it was told, and when it came. */
  private record Entry(int member, int transmissions, long order) {}

  /** The least told first, and of those the newest. */
  private static final Comparator<Entry> NEXT =
      Comparator.comparingInt(Entry::transmissions)
          .thenComparing(Comparator.comparingLong(Entry::order).reversed());

  /** So many that do not fit are passed over. */
  private static final int MAX_SKIPPED = 32;

  private final View view;
  private final EncodedSizes sizes;
  private final int transmitLimit;
  private final Map<Integer, Entry> entries = new HashMap<>();
  private final TreeSet<Entry> order = new TreeSet<>(NEXT);
  private long nextOrder;

  GossipQueue(View view, EncodedSizes sizes, int transmitLimit) {
    this.view = view;
    this.sizes = sizes;
    this.transmitLimit = transmitLimit;
  }

  /** There is news of the member, in place of any that was to be told of it. */
  void add(int member) {
    put(new Entry(member, 0, nextOrder++));
  }

  private void put(Entry entry) {
    Entry previous = entries.put(entry.member(), entry);
    if (previous != null) {
      order.remove(previous);
    }
    order.add(entry);
  }

  int size() {
    return entries.size();
  }

  /**
   * Adds what fits into so many bytes, and counts it as told once; one piece where told is empty.
   * Failures and suspicions may take more.
   */
  void fill(int maxBytes, int maxUrgentBytes, List<Statement> statements) {
    if (entries.isEmpty()) {
      return;
    }
    int used = 0;
    int skipped = 0;
    List<Entry> taken = new ArrayList<>();
    for (Entry entry : order) {
      Statement statement = view.get(entry.member());
      int size = sizes.of(statement);
      boolean urgent =
          statement.state() == MemberState.SUSPECT || statement.state() == MemberState.FAILED;
      boolean fits = statements.isEmpty() || used + size <= (urgent ? maxUrgentBytes : maxBytes);
      if (fits && !statements.contains(statement)) {
        used += size;
        statements.add(statement);
        taken.add(entry);
      } else if (++skipped > MAX_SKIPPED) {
        break;
      }
    }
    for (Entry entry : taken) {
      if (entry.transmissions() + 1 < transmitLimit) {
        put(new Entry(entry.member(), entry.transmissions() + 1, entry.order()));
      } else {
        entries.remove(entry.member());
        order.remove(entry);
      }
    }
  }
}
