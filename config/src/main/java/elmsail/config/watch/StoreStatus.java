package elmsail.config.watch;

import elmsail.rpc.messages.VoterSet;

/**
 * What a store tells of itself with each pull.
 *
 * @param voting whether it holds a voter slot and has caught up
 * @param drained whether no job needs its disk any more
 * @param jobStoreVoters the voter set that it knows
 */
public record StoreStatus(boolean voting, boolean drained, VoterSet jobStoreVoters) {
  /** What processes without a store tell. */
  public static final StoreStatus NONE = new StoreStatus(false, false, new VoterSet());
}
