package elmsail.consensus;

/**
 * The identity of the replica that a process runs.
 *
 * @param set the name of the set; the names of its records begin with it
 * @param address the address at which other processes call this one
 * @param machine the name of the machine; empty if it has none
 */
public record ReplicaIdentity(String set, String address, String machine) {}
