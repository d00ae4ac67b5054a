package willowdoor.members;

import java.util.random.RandomGenerator;

/**
 * Orders the processes that use one name: a counter of 42 bits, followed by 20 random bits that the
 * process chooses once. The counter starts at the wall-clock time and is raised above every
 * generation that is received for the name.
 */
final class Generation {

  private static final int RANDOM_BITS = 20;
  private static final long RANDOM_MASK = (1L << RANDOM_BITS) - 1;

  /** The largest accepted generation; the margin above it allows a process to raise its own. */
  static final long MAX = 1L << 61;

  private Generation() {}

  /** The generation of a starting process; any wall-clock time in milliseconds is valid. */
  static long first(long wallMs, RandomGenerator random) {
    long count = Math.max(1, Math.min(wallMs, MAX >> RANDOM_BITS + 1));
    return count << RANDOM_BITS | random.nextLong(RANDOM_MASK + 1);
  }

  /** The next generation above {@code other}, with the random part of {@code own}. */
  static long above(long other, long own) {
    return (other >> RANDOM_BITS) + 1 << RANDOM_BITS | randomPart(own);
  }

  /** The random bits of the process. */
  static long randomPart(long generation) {
    return generation & RANDOM_MASK;
  }
}
