package elmsail.controlplane;

/** The lease whose holder performs the platform's singleton duties, from the holder's side. */
interface DutyLease {
  /**
   * The term in which this process holds the lease at this moment; 0 if it does not hold the lease.
   */
  long term();

  /** Called when a call under that term was rejected because a higher term has been used. */
  void onFenced(long refusedTerm);
}
