package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** One reader at this front door: in a group, or alone. */
final class Reader {
  /** Bytes that are written to a reader, and how far it is with them. */
  static final class Piece {
    final byte[] bytes;
    final Position after;

    /** The group that shares it, null for a reader's own. */
    final Group group;

    final long atMs;

    /** The number of the next event in the front door's order. */
    final long order;

    /** Readers of the group that have not taken it. */
    int left;

    Piece(byte[] bytes, Position after, Group group, long order, long atMs) {
      this.bytes = bytes;
      this.after = after;
      this.group = group;
      this.order = order;
      this.atMs = atMs;
    }
  }

  final long id;
  final long customer;

  /** The same at every front door. */
  final long key;

  /** The member it came to first. */
  final int home;

  /** Its orders to move so far. */
  final long moves;

  final long sinceMs;
  final Pace pace;
  Group group;

  /** In the group's window: the next piece to write, and the next that it has to take. */
  long next;

  long done;
  Alone alone;

  /** After all that was written. */
  Position at;

  /** The class it is among the slow as, null for one that is not. */
  PaceClass slow;

  /** Whether it was sent here as that. */
  boolean guest;

  /**
   * Streams it has had something of and this front door does not know, at the position it came
   * with.
   */
  Position unproven = Position.NONE;

  MoveOrder order;
  long orderMs;
  boolean closing;
  private final ArrayDeque<Piece> out = new ArrayDeque<>();
  private long outBytes;

  /** Pieces under way that are a group's, perhaps of one it has left. */
  private int outShared;

  private long offset;

  Reader(long id, long customer, long key, int home, long moves, Position at, long nowMs) {
    this.id = id;
    this.customer = customer;
    this.key = key;
    this.home = home;
    this.moves = moves;
    this.at = at;
    this.sinceMs = nowMs;
    this.pace = new Pace(nowMs);
  }

  void write(Piece piece, Consumer<Effect> effects) {
    out.add(piece);
    outBytes += piece.bytes.length;
    outShared += piece.group == null ? 0 : 1;
    at = piece.after;
    effects.accept(new Effect.Write(id, piece.bytes));
  }

  /** Its socket took so many bytes. @return whether it finished a piece of its group */
  boolean took(long written) {
    long bytes = Math.min(written, outBytes);
    pace.took(bytes);
    outBytes -= bytes;
    offset += bytes;
    boolean finished = false;
    while (!out.isEmpty() && offset >= out.peek().bytes.length) {
      Piece piece = out.remove();
      offset -= piece.bytes.length;
      outShared -= piece.group == null ? 0 : 1;
      if (piece.group != null && piece.group == group) {
        group.done(this);
        finished = true;
      }
    }
    return finished;
  }

  /**
   * Whether it could be in a group: nothing of an earlier one is under way, which would count for
   * this one.
   */
  boolean joinable() {
    return outShared == 0;
  }

  /** Bytes that are under way to it. */
  long outBytes() {
    return outBytes;
  }
}
