/**
 * A replicated register: named values that are read and changed by compare-and-set at a majority of
 * voters. The protocol is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without Logs",
 * 2018), so there is neither a log nor a leader.
 *
 * <ul>
 *   <li>Client side: {@link elmsail.consensus.RegisterClient} runs one {@code QuorumOperation} per
 *       call: a {@code Proposer} changes a key, a {@code QuorumRead} reads one, a {@code BlobRead}
 *       fetches a blob.
 *   <li>Voter side: {@link elmsail.consensus.Replica} combines the decisions of the {@code
 *       Acceptor} with the records on disk and with the {@code ReplicaMembership}, which decides
 *       whether this process votes.
 *   <li>Changes of the voter set: a process that lost its disk, or that takes over the slot of
 *       another process, becomes a voter through a {@code ReplicaJoin}, after a {@code
 *       StateTransfer} from other voters.
 * </ul>
 *
 * <p>{@code Acceptor}, {@code ReplicaMembership}, {@code JoinQuorum} and {@link
 * elmsail.consensus.VoterSets} use neither time nor network nor disk. All code of one replica or
 * client runs on one event loop.
 */
package elmsail.consensus;
