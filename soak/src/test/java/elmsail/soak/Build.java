package elmsail.soak;

/** A build of the tier that a process may be started from. */
enum Build {
  /** The sources under test. */
  CURRENT,
  /** The jar that {@link BuildSelector#OTHER_JAR} names, as a rule an earlier version. */
  OTHER
}
