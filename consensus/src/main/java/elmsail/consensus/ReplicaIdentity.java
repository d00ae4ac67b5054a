package elmsail.consensus;

/**
 * Which replica a process runs.
 *
 * @param set the name of the set, with which the names of its records begin
 * @param address where other processes call this one
 * @param machine the name of the machine; empty if it has none
 */
public record ReplicaIdentity(String set, String address, String machine) {}
