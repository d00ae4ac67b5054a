/**
 * The foundation of every process of the tier: settings, the event loop with its timers, signals,
 * error codes, metrics and invariants. Nothing here depends on requests or consensus.
 */
package elmsail.runtime;
