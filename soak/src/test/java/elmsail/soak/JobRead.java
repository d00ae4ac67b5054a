package elmsail.soak;

import java.util.List;

/**
 * A read of a job's results and its answer.
 *
 * @param deliveries empty unless the status is 200
 */
record JobRead(
    String job,
    String machine,
    long sentMs,
    long atMs,
    int status,
    int after,
    int total,
    int nextToken,
    List<ItemResult> deliveries) {}
