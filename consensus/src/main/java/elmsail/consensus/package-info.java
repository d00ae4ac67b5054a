/**
 * A replicated register: named values that are read and changed at a majority of voters by
 * CASPaxos, without a log and without a leader. An {@code Acceptor} votes on one process, a {@code
 * Proposer} changes a value, a {@code QuorumRead} reads one. A {@code Replica} joins an acceptor to
 * its disk and to the voter set; a process whose disk came back empty, or one that replaces
 * another, gets its vote by {@code ReplicaJoin} once it has copied what the others hold. All of a
 * replica runs on one event loop.
 */
package elmsail.consensus;
