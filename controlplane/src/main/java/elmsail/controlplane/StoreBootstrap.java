package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides the first voter set of the stores, once, by the register. */
final class StoreBootstrap {
  /** The register's key that holds the first voter set. */
  static final String KEY = "shelf";

  private static final Logger LOG = LoggerFactory.getLogger(StoreBootstrap.class);
  private static final long CHANGE_TIMEOUT_MS = 900;

  private final Register register;
  private final CommittedValue committedStoreVoters;
  private final PlacementController placementController;
  private final HeartbeatTable storeHeartbeats;
  private boolean changeInFlight;

  /**
   * Makes one.
   *
   * @param committedStoreVoters the key as it was last read
   * @param placementController who chooses the first voters
   */
  StoreBootstrap(
      Register register,
      CommittedValue committedStoreVoters,
      PlacementController placementController,
      HeartbeatTable storeHeartbeats) {
    this.register = register;
    this.committedStoreVoters = committedStoreVoters;
    this.placementController = placementController;
    this.storeHeartbeats = storeHeartbeats;
  }

  /** Whether none has been decided, as far as a majority has told. */
  boolean isPending() {
    return committedStoreVoters.hasBeenRead() && committedStoreVoters.value() == null;
  }

  /** Has the first voter set decided if it is time for it. */
  void tryBootstrap(long now) {
    VoterSet initialVoterSet =
        changeInFlight ? null : placementController.initialVoterSet(storeHeartbeats, now);
    if (initialVoterSet == null) {
      return;
    }
    changeInFlight = true;
    register
        .change(
            KEY,
            found ->
                new Register.ProposedValue(
                    found.value() != null ? null : VoterSetValue.encode(initialVoterSet),
                    List.of()),
            List.of(),
            null,
            CHANGE_TIMEOUT_MS)
        .whenComplete(this::onChangeCompleted);
  }

  private void onChangeCompleted(Register.CommittedState outcome, Throwable failure) {
    changeInFlight = false;
    if (failure == null) {
      LOG.info("the store set is founded");
      committedStoreVoters.offer(outcome.current());
    }
  }
}
