package elmsail.config.watch;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.VoterSet;

/**
 * What a process last said of itself with a pull; {@code at} in steady ms.
 *
 * @param role "gateway", "store" or "controlplane"
 * @param jobStoreVoters the voter set that a store knows
 */
public record PeerStatus(
    String machine,
    String address,
    String zone,
    String role,
    long instanceId,
    boolean voting,
    boolean drained,
    VoterSet jobStoreVoters,
    long receivedAtMs) {

  /** Whether all but the time is the same. */
  boolean equalsExceptTime(PeerStatus other) {
    return machine.equals(other.machine)
        && address.equals(other.address)
        && zone.equals(other.zone)
        && role.equals(other.role)
        && instanceId == other.instanceId
        && voting == other.voting
        && drained == other.drained
        && VoterSets.areEqual(jobStoreVoters, other.jobStoreVoters);
  }
}
