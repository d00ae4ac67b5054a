package elmsail.config.watch;

import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.VoterSet;

/**
 * The status that a process reported with its last watch request.
 *
 * @param machine the name of its machine
 * @param address its RPC address, "ip:port"
 * @param role the value of {@link PeerRole#wireName}
 * @param instanceId identifies the incarnation of the process
 * @param voting whether it holds a voter slot and has caught up
 * @param drained whether all jobs that needed the disk of this process have ended; processes of
 *     this version always report false
 * @param jobStoreVoters the voter set that a store knows; empty for other roles
 * @param receivedAtMs when the request was received, in ms of the steady clock
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

  /** Whether all but the time of receipt is equal. */
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
