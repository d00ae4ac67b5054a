package elmsail.controlplane;

/** What a committed configuration proves about one change: see {@link ConfigHistory#statusOf}. */
enum ConfigChangeStatus {
  /** The change was committed and is in the history. */
  COMMITTED,
  /**
   * The base is the current version: the change has not been committed and may be committed now.
   */
  APPLICABLE,
  /**
   * The change was not committed and never will be: another change was committed on its base, or
   * its base was never a committed version.
   */
  SUPERSEDED,
  /** The base is above the current version; a later change may still commit it. */
  BASE_NOT_COMMITTED,
  /** The base is older than all changes in the history: the outcome can no longer be determined. */
  BASE_DROPPED_FROM_HISTORY
}
