package elmsail.controlplane;

/** What a committed configuration proves of one change: see {@link ConfigHistory#statusOf}. */
enum ConfigChangeStatus {
  /** It was committed, and it is remembered. */
  COMMITTED,
  /** Its base is the current version: it was not committed before, and may be now. */
  APPLICABLE,
  /** Another change was committed on its base: it was not committed and never will be. */
  SUPERSEDED,
  /** Its base is above the current version, which may still reach it. */
  BASE_NOT_COMMITTED,
  /** Its base is older than all changes that are remembered: nothing can be proved any more. */
  BASE_FORGOTTEN
}
