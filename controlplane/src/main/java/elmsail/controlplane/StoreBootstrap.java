package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the initial job-store voters to the register, once in the cluster's life. Runs on the
 * event loop.
 */
final class StoreBootstrap {
  /** The register's key of the initial voter set. */
  static final String KEY = "shelf";

  private static final Logger LOG = LoggerFactory.getLogger(StoreBootstrap.class);
  private static final long CHANGE_TIMEOUT_MS = 900;

  private final Register register;
  private final CommittedValue committedStoreVoters;
  private final PlacementController placementController;
  private final HeartbeatTable storeHeartbeats;
  private boolean changeInFlight;

  /**
   * Creates a bootstrap that proposes nothing before {@link #tryBootstrap}.
   *
   * @param committedStoreVoters the value of the key as last read
   * @param placementController chooses the initial voters
   * @param storeHeartbeats the candidates
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

  /** Whether the key was read at a majority and no voter set is committed yet. */
  boolean isPending() {
    return committedStoreVoters.hasBeenRead() && committedStoreVoters.value() == null;
  }

  /** Proposes the initial voter set if there are enough candidates and no proposal in flight. */
  void tryBootstrap(long now) {
    if (!changeInFlight) {
      placementController.initialVoterSet(storeHeartbeats, now).ifPresent(this::propose);
    }
  }

  private void propose(VoterSet initialVoterSet) {
    changeInFlight = true;
    register
        .change(
            KEY,
            observed ->
                new Register.ProposedValue(
                    observed.value() != null ? null : VoterSetValue.encode(initialVoterSet),
                    List.of()),
            List.of(),
            null,
            CHANGE_TIMEOUT_MS)
        .whenComplete(this::onChangeCompleted);
  }

  private void onChangeCompleted(Register.CommittedState outcome, Throwable failure) {
    changeInFlight = false;
    if (failure == null) {
      LOG.info("the initial job-store voter set is committed");
      committedStoreVoters.offer(outcome.current());
    }
  }
}
