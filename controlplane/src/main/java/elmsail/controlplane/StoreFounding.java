package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides the first voter set of the stores, once, by the register. */
final class StoreFounding {
  /** The register's key that holds the first voter set. */
  static final String KEY = "shelf";

  private static final Logger LOG = LoggerFactory.getLogger(StoreFounding.class);
  private static final long TIMEOUT_MS = 900;

  private final Register register;
  private final CommittedValue founded;
  private final PlacementController placement;
  private final HeartbeatTable heard;
  private boolean underWay;

  /**
   * Makes one.
   *
   * @param founded the key as it was last read
   * @param placement who chooses the first voters
   */
  StoreFounding(
      Register register,
      CommittedValue founded,
      PlacementController placement,
      HeartbeatTable heard) {
    this.register = register;
    this.founded = founded;
    this.placement = placement;
    this.heard = heard;
  }

  /** Whether none has been decided, as far as a majority has told. */
  boolean open() {
    return founded.read() && founded.value() == null;
  }

  /** Has the first voter set decided if it is time for it. */
  void attempt(long now) {
    VoterSet first = underWay ? null : placement.founding(heard, now);
    if (first == null) {
      return;
    }
    underWay = true;
    register
        .change(
            KEY,
            found ->
                new Register.ProposedValue(
                    found.value() != null ? null : VoterSetValue.bytes(first), List.of()),
            List.of(),
            null,
            TIMEOUT_MS)
        .whenComplete(this::done);
  }

  private void done(Register.CommittedState held, Throwable failed) {
    underWay = false;
    if (failed == null) {
      LOG.info("the store set is founded");
      founded.take(held.current());
    }
  }
}
