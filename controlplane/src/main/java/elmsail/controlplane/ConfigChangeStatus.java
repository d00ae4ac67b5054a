package elmsail.controlplane;

/** What a decided configuration says of one order: see {@link ConfigHistory#statusOf}. */
enum ConfigChangeStatus {
  /** It was taken, and it is remembered. */
  COMMITTED,
  /** Its base is the configuration in force: it may be taken now, and was not taken before. */
  APPLICABLE,
  /** Another change was taken on its base: it was not taken and never will be. */
  SUPERSEDED,
  /** Its base is no configuration that is known here yet: it may still become one. */
  BASE_NOT_COMMITTED,
  /** Its base is older than all that is remembered: nobody can tell any more. */
  BASE_FORGOTTEN
}
