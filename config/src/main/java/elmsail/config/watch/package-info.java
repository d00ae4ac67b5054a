/**
 * Delivery of the configuration, the server list and the cluster membership from control-plane
 * nodes to all processes, by long polls. Each part has a version, so that an older update never
 * replaces a newer one. {@link elmsail.config.watch.WatchServer} publishes, {@link
 * elmsail.config.watch.ConfigWatcher} watches; a gateway whose server list is too old fetches a
 * list directly from the platform.
 */
package elmsail.config.watch;
