package elmsail.batch;

/**
 * The settings of the batch service of one gateway.
 *
 * @param localAddress this gateway's RPC address, as it stands in the cluster view
 * @param cancelMs within which a cancelled job has no item sent any more, in ms
 * @param seed of the random numbers for jitter and for the ids of attempts
 */
public record BatchSettings(String localAddress, long cancelMs, long seed) {}
