package willowdoor.members;

/**
 * Receives the outputs of a {@link Membership}, in order, within the call to the membership that
 * causes them.
 */
interface Effects {

  /** Sends to the member with the index; must not block. The message may be lost. */
  void send(int to, Message message);

  /** A statement has replaced the previous one of a member, including this process. */
  void changed(Statement previous, Statement current);

  void isolationChanged(boolean isolated);

  /**
   * Another process runs under the name of this process.
   *
   * @param superseded whether this process becomes silent; otherwise it continues
   */
  void duplicateNameFound(boolean superseded);
}
