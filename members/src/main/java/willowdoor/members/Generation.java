package willowdoor.members;

import java.util.random.RandomGenerator;

/**
 * A process's place among those of its name: 42 bits that count up, and 20 bits that the process
 * draws once. The count begins at the wall clock, and is raised above whatever is heard of the
 * name.
 */
final class Generation {

  private static final int RANDOM_BITS = 20;
  private static final long RANDOM_MASK = (1L << RANDOM_BITS) - 1;

  /** The largest that is accepted: there must be some above it. */
  static final long MAX = 1L << 61;

  private Generation() {}

  /** Of a process that starts; any wall clock in milliseconds will do. */
  static long first(long wallMs, RandomGenerator random) {
    long count = Math.max(1, Math.min(wallMs, MAX >> RANDOM_BITS + 1));
    return count << RANDOM_BITS | random.nextLong(RANDOM_MASK + 1);
  }

  /** The next one above another's, of the same process. */
  static long above(long other, long own) {
    return (other >> RANDOM_BITS) + 1 << RANDOM_BITS | randomPart(own);
  }

  /** What its process has drawn. */
  static long randomPart(long generation) {
    return generation & RANDOM_MASK;
  }
}
