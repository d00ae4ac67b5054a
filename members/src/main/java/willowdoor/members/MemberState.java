package willowdoor.members;

/**
 * What a member is said to be. The order matters: of two statements of the same generation and
 * incarnation the one with the later state holds.
 */
public enum MemberState {
  /** Its process has started, and has not yet been told what the others know. */
  JOINING,
  ALIVE,
  /** It did not answer, and has time left to say that it is alive. */
  SUSPECT,
  /** It let that time pass, or was never heard of. */
  FAILED,
  /** It said itself that it ends. */
  LEFT;

  /** The wire's numbers are the ordinals. */
  private static final MemberState[] ALL = values();

  static MemberState of(int number) {
    return ALL[number];
  }

  static int count() {
    return ALL.length;
  }

  /** Not found to have failed, and not gone: it is probed with all others. */
  public boolean present() {
    return this != FAILED && this != LEFT;
  }

  /** Counted for a majority: one that joins knows too little to be. */
  boolean countsForMajority() {
    return this == ALIVE || this == SUSPECT;
  }
}
