package elmsail.config.watch;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.VoterSet;

/**
 * What a process last said of itself with a pull; {@code at} in steady ms.
 *
 * @param role "gateway", "store" or "controlplane"
 * @param storeSet the voter set that a store knows
 */
public record PeerReport(
    String station,
    String address,
    String zone,
    String role,
    long instanceId,
    boolean voting,
    boolean emptied,
    VoterSet storeSet,
    long at) {

  /** Whether all but the time is the same. */
  boolean saysTheSame(PeerReport other) {
    return station.equals(other.station)
        && address.equals(other.address)
        && zone.equals(other.zone)
        && role.equals(other.role)
        && instanceId == other.instanceId
        && voting == other.voting
        && emptied == other.emptied
        && VoterSets.areEqual(storeSet, other.storeSet);
  }
}
