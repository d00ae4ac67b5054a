package willowdoor.lab.load;

import java.util.Map;

/**
 * What clients do.
 *
 * @param ratePerS requests begun in a second, in the mean, whatever becomes of those before
 * @param customers how many there are
 * @param spread at how many front doors in a row a customer comes in
 * @param plans how often a customer has which plan, relative to each other
 * @param classes how often a request is of which class, likewise
 * @param connections how many connections clients hold to a front door at most
 * @param noticeMs how long clients go on going to a front door that is gone
 * @param retry whether clients repeat what was refused, or failed and is safe to repeat
 */
public record LoadSpec(
    double ratePerS,
    int customers,
    int spread,
    Map<String, Double> plans,
    Map<String, Double> classes,
    int connections,
    long noticeMs,
    boolean retry) {}
