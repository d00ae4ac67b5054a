package willowdoor.members;

/** What a {@link Membership} has done, in order, within the call that made it do so. */
interface Effects {

  /** To the member at the place; it may be lost, and must not wait. */
  void send(int to, Message message);

  /** A statement holds instead of another; also of this process itself. */
  void changed(Statement previous, Statement current);

  void isolationChanged(boolean isolated);

  /** Another process runs under the name of this one, which goes on or falls silent. */
  void duplicateNameFound(boolean superseded);
}
