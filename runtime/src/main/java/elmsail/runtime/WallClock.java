package elmsail.runtime;

/**
 * The machine's time of day, in ms since the start of 1970. It may be off, and may jump by seconds:
 * nothing may be timed by it. Its one use is to agree with other machines on the time of day that
 * is told to the platform.
 */
@FunctionalInterface
public interface WallClock {
  /** The clock of the machine. */
  WallClock SYSTEM = System::currentTimeMillis;

  /** The time of day as this machine has it. */
  long currentMs();
}
