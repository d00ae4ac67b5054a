package willowdoor.members;

/**
 * What things take in a datagram at most, so that messages can be filled before they are encoded.
 */
final class Sizes {

  /** No datagram is longer: it passes every usual network in one piece. */
  static final int DATAGRAM = 1_400;

  /**
   * All but the news, the pages' prints and the names: checksum, numbers, the arrays around them.
   */
  private static final int FIXED = 96;

  private final Roster roster;

  Sizes(Roster roster) {
    this.roster = roster;
  }

  /** Room for news in a message without prints. */
  int room() {
    return DATAGRAM - FIXED - 3 * (Roster.MOST_NAME + 2) - roster.fleet().length();
  }

  /** Of a statement: heads, generation, life, names, tags. */
  int of(Statement s) {
    int size = 1 + name(s.member()) + 9 + 5 + 1 + s.tags().size();
    for (int accuser : s.accusers()) {
      size += name(accuser);
    }
    return size;
  }

  private int name(int place) {
    return 2 + roster.name(place).length();
  }
}
