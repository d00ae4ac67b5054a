package willowdoor.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The members whose statements are to be gossiped, one entry each. A message carries the statement
 * that is current when the message is sent.
 */
final class GossipQueue {

  /** A queued member: how often its statement was sent, and the order of arrival. */
  private record Entry(int member, int transmissions, long order) {}

  /** Entries with the fewest transmissions first, among those the newest first. */
  private static final Comparator<Entry> NEXT =
      Comparator.comparingInt(Entry::transmissions)
          .thenComparing(Comparator.comparingLong(Entry::order).reversed());

  /** Maximum number of entries that are skipped while a message is filled. */
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

  /** Queues the member's statement; replaces an existing entry of the member. */
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
   * Adds queued statements up to {@code maxBytes} in total and counts one transmission for each.
   * Statements about suspected and failed members may use up to {@code maxUrgentBytes}. If {@code
   * statements} is empty, one statement is added whatever its size.
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
