package elmsail.batch;

/**
 * The settings of the batch service of one gateway.
 *
 * @param localAddress this gateway's RPC address, as listed in the cluster view
 * @param cancelMs the longest time between the cancellation of a job and the last start of one of
 *     its items, in ms
 * @param seed the seed of the random numbers for jitter and for the ids of attempts
 */
public record BatchSettings(String localAddress, long cancelMs, long seed) {}
