/**
 * How each process learns what is in force: a stream of updates from control-plane processes to all
 * others, each update with a version, so that an older one never replaces a newer one. A gateway
 * that hears no list for too long asks the platform itself.
 */
package elmsail.config.watch;
