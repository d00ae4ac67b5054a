package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** One reader at this front door: in a group, or alone. */
final class Reader {
  /** Bytes that are written to a reader, and how far it is with them. */
  static final class Chunk {
    final byte[] bytes;
    final Position after;

    /** The group that shares it, null for a reader's own. */
    final Group group;

    final long atMs;

    /** The number of the next event in the front door's order. */
    final long nextEvent;

    /** Readers of the group that have not taken it. */
    int pendingReaders;

    Chunk(byte[] bytes, Position after, Group group, long order, long atMs) {
      this.bytes = bytes;
      this.after = after;
      this.group = group;
      this.nextEvent = order;
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
  final ReaderProgress progress;
  Group group;

  /** In the group's window: the next piece to write, and the next that it has to take. */
  long nextToWrite;

  long nextToTake;
  IndividualDelivery individual;

  /** After all that was written. */
  Position position;

  /** The class it is among the slow as, null for one that is not. */
  PaceClass slowClass;

  /** Whether it was sent here as that. */
  boolean movedHere;

  /**
   * Streams it has had something of and this front door does not know, at the position it came
   * with.
   */
  Position unknownStreams = Position.NONE;

  MoveOrder pendingMove;
  long pendingMoveMs;
  boolean closing;
  private final ArrayDeque<Chunk> inFlight = new ArrayDeque<>();
  private long inFlightBytes;

  /** Pieces under way that are a group's, perhaps of one it has left. */
  private int inFlightShared;

  private long offset;

  Reader(long id, long customer, long key, int home, long moves, Position position, long nowMs) {
    this.id = id;
    this.customer = customer;
    this.key = key;
    this.home = home;
    this.moves = moves;
    this.position = position;
    this.sinceMs = nowMs;
    this.progress = new ReaderProgress(nowMs);
  }

  void write(Chunk chunk, Consumer<Effect> effects) {
    inFlight.add(chunk);
    inFlightBytes += chunk.bytes.length;
    inFlightShared += chunk.group == null ? 0 : 1;
    position = chunk.after;
    effects.accept(new Effect.Write(id, chunk.bytes));
  }

  /** Its socket took so many bytes. @return whether it finished a piece of its group */
  boolean onTaken(long written) {
    long bytes = Math.min(written, inFlightBytes);
    progress.recordTaken(bytes);
    inFlightBytes -= bytes;
    offset += bytes;
    boolean finished = false;
    while (!inFlight.isEmpty() && offset >= inFlight.peek().bytes.length) {
      Chunk chunk = inFlight.remove();
      offset -= chunk.bytes.length;
      inFlightShared -= chunk.group == null ? 0 : 1;
      if (chunk.group != null && chunk.group == group) {
        group.chunkTaken(this);
        finished = true;
      }
    }
    return finished;
  }

  /**
   * Whether it could be in a group: nothing of an earlier one is under way, which would count for
   * this one.
   */
  boolean canJoinGroup() {
    return inFlightShared == 0;
  }

  /** Bytes that are under way to it. */
  long inFlightBytes() {
    return inFlightBytes;
  }
}
