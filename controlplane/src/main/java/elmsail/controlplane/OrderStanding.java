package elmsail.controlplane;

/** What a decided configuration says of one order: see {@link ConfigHistory#standing}. */
enum OrderStanding {
  /** It was taken, and it is remembered. */
  TAKEN,
  /** Its base is the configuration in force: it may be taken now, and was not taken before. */
  NEXT,
  /** Another change was taken on its base: it was not taken and never will be. */
  SUPERSEDED,
  /** Its base is no configuration that is known here yet: it may still become one. */
  AHEAD,
  /** Its base is older than all that is remembered: nobody can tell any more. */
  FORGOTTEN
}
