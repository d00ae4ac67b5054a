package willowdoor.members;

/**
 * The state of a member. The order matters: of two statements of the same generation and
 * incarnation the one with the later state supersedes the other.
 */
public enum MemberState {
  /** The process has started and has not yet received the view of another member. */
  JOINING,
  ALIVE,
  /** The member did not ack a probe and can still refute the suspicion. */
  SUSPECT,
  /** The suspicion time-out has passed, or no statement of the member was ever received. */
  FAILED,
  /** The member announced that it leaves. */
  LEFT;

  /** The ordinals are the numbers in the wire format. */
  private static final MemberState[] ALL = values();

  static MemberState of(int number) {
    return ALL[number];
  }

  static int count() {
    return ALL.length;
  }

  /** Whether the member has neither failed nor left. Present members are probed regularly. */
  public boolean present() {
    return this != FAILED && this != LEFT;
  }

  /**
   * Whether the member counts for a majority. A joining member does not: its view is incomplete.
   */
  boolean countsForMajority() {
    return this == ALIVE || this == SUSPECT;
  }
}
