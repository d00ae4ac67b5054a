package elmsail.config.watch;

import elmsail.rpc.messages.VoterSet;

/**
 * What a store reports of itself with each watch request.
 *
 * @param voting whether it holds a voter slot and has caught up
 * @param drained whether no job needs its disk any more
 * @param jobStoreVoters the voter set that it knows
 */
public record StoreStatus(boolean voting, boolean drained, VoterSet jobStoreVoters) {
  /** The status of processes that are no store. */
  public static final StoreStatus NONE = new StoreStatus(false, false, new VoterSet());
}
