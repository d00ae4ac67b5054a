package elmsail.config.watch;

import elmsail.rpc.messages.VoterSet;

/**
 * The status that a store reports with each watch request.
 *
 * @param voting whether it holds a voter slot and has caught up
 * @param drained whether all jobs that needed the disk of this process have ended; processes of
 *     this version always report false
 * @param jobStoreVoters the voter set that the store knows
 */
public record StoreStatus(boolean voting, boolean drained, VoterSet jobStoreVoters) {
  /** The status of processes that are not stores. */
  public static final StoreStatus NONE = new StoreStatus(false, false, new VoterSet());
}
