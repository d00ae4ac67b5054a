/**
 * A simulated world for tests: clocks that the test advances, links that delay, lose and cut
 * messages, disks that lose what was not synced. Every choice is drawn from one seed, so that a run
 * can be repeated. No program contains it.
 */
package elmsail.simulation;
