package willowdoor.members;

/**
 * Upper bounds of the encoded sizes, in bytes, so that messages can be filled before they are
 * encoded.
 */
final class EncodedSizes {

  /** Maximum length of a datagram; common networks carry it without fragmentation. */
  static final int MAX_DATAGRAM_BYTES = 1_400;

  /**
   * Everything but statements, page checksums and names: the datagram's checksum, numbers and the
   * headers of arrays.
   */
  private static final int FIXED_BYTES = 96;

  private final Roster roster;

  EncodedSizes(Roster roster) {
    this.roster = roster;
  }

  /** Room for statements in a message without page checksums. */
  int statementRoom() {
    return MAX_DATAGRAM_BYTES
        - FIXED_BYTES
        - 3 * (Roster.MAX_NAME_LENGTH + 2)
        - roster.fleet().length();
  }

  /** Size of a statement: CBOR headers, generation, incarnation and state, names, tags. */
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
