package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/** One reader at this front door, served through a group or individually. */
final class Reader {
  /** Bytes that are written to a reader, and the reader's position after them. */
  static final class Chunk {
    final byte[] bytes;
    final Position after;

    /** The group that shares the chunk, or null if the chunk is for one reader only. */
    final Group group;

    final long atMs;

    /** Number of the next event in the front door's order. */
    final long nextEvent;

    /** Number of readers of the group that have not taken the chunk yet. */
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

  /** Identifies the reader; the same at every front door. */
  final long key;

  /** Member to which the reader connected first. */
  final int home;

  /** Number of move orders that the reader has received so far. */
  final long moves;

  final long sinceMs;
  final ReaderProgress progress;
  Group group;

  /**
   * Numbers in the group's window of the next chunk to write and of the next chunk that the socket
   * has to take.
   */
  long nextToWrite;

  long nextToTake;
  IndividualDelivery individual;

  /** Position after all written chunks. */
  Position position;

  /** Class of a slow reader, or null if the reader is not slow. */
  PaceClass slowClass;

  /** Whether the reader was moved here as a slow reader. */
  boolean movedHere;

  /**
   * Streams that the reader has received notices of and that this front door does not know, at the
   * position from which the reader resumed.
   */
  Position unknownStreams = Position.NONE;

  MoveOrder pendingMove;
  long pendingMoveMs;
  boolean closing;
  private final ArrayDeque<Chunk> inFlight = new ArrayDeque<>();
  private long inFlightBytes;

  /** Number of chunks in flight that belong to a group, possibly one that the reader has left. */
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

  /**
   * Records bytes that the reader's socket has taken.
   *
   * @return whether the reader finished a chunk of its group
   */
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
   * Returns whether the reader can join a group. Chunks in flight of an earlier group would be
   * counted for the new one.
   */
  boolean canJoinGroup() {
    return inFlightShared == 0;
  }

  /** Returns the bytes in flight to the reader. */
  long inFlightBytes() {
    return inFlightBytes;
  }
}
