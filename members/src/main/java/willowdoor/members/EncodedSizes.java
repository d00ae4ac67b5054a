package willowdoor.members;

/**
 * What things take in a datagram at most, so that messages can be filled before they are encoded.
 */
final class EncodedSizes {

  /** No datagram is longer: it passes every usual network in one piece. */
  static final int MAX_DATAGRAM_BYTES = 1_400;

  /**
   * All but the news, the pages' prints and the names: checksum, numbers, the arrays around them.
   */
  private static final int FIXED_BYTES = 96;

  private final Roster roster;

  EncodedSizes(Roster roster) {
    this.roster = roster;
  }

  /** Room for news in a message without prints. */
  int statementRoom() {
    return MAX_DATAGRAM_BYTES
        - FIXED_BYTES
        - 3 * (Roster.MAX_NAME_LENGTH + 2)
        - roster.fleet().length();
  }

  /** Of a statement: heads, generation, life, names, tags. */
  int of(Statement s) {
    int size = 1 + name(s.member()) + 9 + 5 + 1 + s.tags().maxEncodedBytes();
    for (int accuser : s.accusers()) {
      size += name(accuser);
    }
    return size;
  }

  private int name(int index) {
    return 2 + roster.name(index).length();
  }
}
