package willowdoor.members;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The newest statement about each member of the roster, with incrementally updated digests of the
 * whole view and of its pages. A page is a range of consecutive members.
 */
final class View {

  static final int MAX_PAGES = 256;

  /** Length of a page checksum. A collision is harmless: the next exchange uses another salt. */
  static final int PAGE_CHECKSUM_BYTES = 2;

  private final Statement[] statements;
  private final long[] pages;
  private final int pageSize;
  private final int[] counts = new int[MemberState.count()];
  private long digest;

  View(Roster roster) {
    int size = roster.size();
    pageSize = (size + MAX_PAGES - 1) / MAX_PAGES;
    pages = new long[(size + pageSize - 1) / pageSize];
    statements = new Statement[size];
    for (int i = 0; i < size; i++) {
      statements[i] = roster.initialStatement(i);
      counts[statements[i].state().ordinal()]++;
      digest(statements[i]);
    }
  }

  int size() {
    return statements.length;
  }

  Statement get(int member) {
    return statements[member];
  }

  /** Stores the statement, even if an existing one is newer; returns the previous statement. */
  Statement put(Statement current) {
    Statement previous = statements[current.member()];
    statements[current.member()] = current;
    counts[previous.state().ordinal()]--;
    counts[current.state().ordinal()]++;
    if (!previous.sameIncarnation(current) || previous.state() != current.state()) {
      undigest(previous);
      digest(current);
    }
    return previous;
  }

  int count(MemberState state) {
    return counts[state.ordinal()];
  }

  int present() {
    return size() - count(MemberState.FAILED) - count(MemberState.LEFT);
  }

  /** Number of members that count for a majority. */
  int reachable() {
    return count(MemberState.ALIVE) + count(MemberState.SUSPECT);
  }

  long digest() {
    return digest;
  }

  /** Short salted checksums of the pages' digests, in order. */
  byte[] pageChecksums(long salt) {
    ByteBuffer checksums = ByteBuffer.allocate(pages.length * PAGE_CHECKSUM_BYTES);
    for (long page : pages) {
      checksums.putShort((short) mix(page ^ mix(salt)));
    }
    return checksums.array();
  }

  /**
   * Pages whose checksums differ from those of another view; all if the numbers of pages differ.
   */
  List<Integer> differingPages(byte[] others, long salt) {
    byte[] own = pageChecksums(salt);
    List<Integer> found = new ArrayList<>();
    for (int i = 0; i < pages.length; i++) {
      int at = i * PAGE_CHECKSUM_BYTES;
      if (others.length != own.length
          || !Arrays.equals(
              own, at, at + PAGE_CHECKSUM_BYTES, others, at, at + PAGE_CHECKSUM_BYTES)) {
        found.add(i);
      }
    }
    return found;
  }

  List<Statement> page(int page) {
    int begin = page * pageSize;
    return List.of(Arrays.copyOfRange(statements, begin, Math.min(size(), begin + pageSize)));
  }

  private void digest(Statement s) {
    long word = hash(s);
    digest += word;
    pages[s.member() / pageSize] += word;
  }

  private void undigest(Statement s) {
    long word = hash(s);
    digest -= word;
    pages[s.member() / pageSize] -= word;
  }

  private static long hash(Statement s) {
    return mix(
        mix(mix(s.member() + 1L) ^ s.generation())
            + (long) s.incarnation() * MemberState.count()
            + s.state().ordinal());
  }

  /** The finalizer of MurmurHash3, 64 bit. */
  private static long mix(long word) {
    long h = word;
    h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
    h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
    return h ^ h >>> 33;
  }
}
