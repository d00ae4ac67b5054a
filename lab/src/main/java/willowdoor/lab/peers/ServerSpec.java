package willowdoor.lab.peers;

/**
 * What all template servers of a run have in common.
 *
 * @param meanMs what the work of a request takes in the mean, drawn exponentially
 * @param width how many requests a server works on at once
 * @param queue how many more it lets wait
 * @param connections how many connections it holds
 * @param idleMs after how long an idle connection is closed
 * @param coldFrom the share of its speed that it has when it starts, rising to 1 over coldMs
 * @param bodyBytes the least size of an answer's body
 * @param loadReport the name under which answers report the queue, or empty for no report
 */
public record ServerSpec(
    double meanMs,
    int width,
    int queue,
    int connections,
    long idleMs,
    double coldFrom,
    double coldMs,
    int bodyBytes,
    String loadReport) {}
