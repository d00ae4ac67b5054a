package elmsail.controlplane;

/** The lease whose holder does the platform's singleton duties, as its holder sees it. */
interface DutyLease {
  /** The term in which this process holds the lease at this very moment; 0 if it does not. */
  long term();

  /** Somebody refused what this process did under that term, as a higher one was used. */
  void onFenced(long refusedTerm);
}
