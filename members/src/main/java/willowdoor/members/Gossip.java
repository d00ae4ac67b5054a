package willowdoor.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Of which members there is news to tell: one piece for each, what is told is what holds then. */
final class Gossip {

  /** One piece of news: how often it was told, and when it came. */
  private record Piece(int member, int told, long order) {}

  /** The least told first, and of those the newest. */
  private static final Comparator<Piece> NEXT =
      Comparator.comparingInt(Piece::told)
          .thenComparing(Comparator.comparingLong(Piece::order).reversed());

  /** So many that do not fit are passed over. */
  private static final int LOOKS = 32;

  private final View view;
  private final Sizes sizes;
  private final int tellings;
  private final Map<Integer, Piece> pieces = new HashMap<>();
  private final TreeSet<Piece> order = new TreeSet<>(NEXT);
  private long next;

  Gossip(View view, Sizes sizes, int tellings) {
    this.view = view;
    this.sizes = sizes;
    this.tellings = tellings;
  }

  /** There is news of the member, in place of any that was to be told of it. */
  void add(int member) {
    put(new Piece(member, 0, next++));
  }

  private void put(Piece piece) {
    Piece before = pieces.put(piece.member(), piece);
    if (before != null) {
      order.remove(before);
    }
    order.add(piece);
  }

  int size() {
    return pieces.size();
  }

  /**
   * Adds what fits into so many bytes, and counts it as told once; one piece where told is empty.
   * Failures and suspicions may take more.
   */
  void take(int bytes, int urgentBytes, List<Statement> told) {
    if (pieces.isEmpty()) {
      return;
    }
    int used = 0;
    int looks = 0;
    List<Piece> taken = new ArrayList<>();
    for (Piece piece : order) {
      Statement statement = view.get(piece.member());
      int size = sizes.of(statement);
      boolean urgent =
          statement.state() == MemberState.SUSPECT || statement.state() == MemberState.FAILED;
      boolean fits = told.isEmpty() || used + size <= (urgent ? urgentBytes : bytes);
      if (fits && !told.contains(statement)) {
        used += size;
        told.add(statement);
        taken.add(piece);
      } else if (++looks > LOOKS) {
        break;
      }
    }
    for (Piece piece : taken) {
      if (piece.told() + 1 < tellings) {
        put(new Piece(piece.member(), piece.told() + 1, piece.order()));
      } else {
        pieces.remove(piece.member());
        order.remove(piece);
      }
    }
  }
}
