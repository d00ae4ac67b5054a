/**
 * What every process of the tier stands on: its settings, the one event loop with its timers,
 * signals, errors with their codes, and counters for the log. Nothing here knows of requests or of
 * consensus.
 */
package elmsail.runtime;
